// The check command: validates settings and documents offline with the same
// code by which the daemon accepts them. See command.h.

#include "kumquatpitch/catalog.h"
#include "kumquatpitch/command.h"
#include "kumquatpitch/host-list.h"
#include "kumquatpitch/json-reader.h"
#include "kumquatpitch/manifest.h"
#include "kumquatpitch/settings.h"

#include <algorithm>
#include <getopt.h>
#include <iostream>

namespace kumquatpitch {

namespace {

constexpr const char *Usage =
    "usage: kumquatpitch check FILE...\n\n"
    "Checks settings (*.ini), contracts, service entries, manifests and host\n"
    "lists (JSON; the fields determine the kind). When contracts and service\n"
    "entries are given together, references are checked too: each service\n"
    "that a contract names must have an entry of the same customer.\n";

/// Documents parsed so far, kept to check the references between them.
struct Documents {
  std::vector<std::shared_ptr<const Contract>> Contracts_;
  std::vector<std::shared_ptr<const ServiceEntry>> Entries_;
};

bool isSettingsFile(const std::string &File) {
  constexpr std::string_view Extension = ".ini";
  return File.size() > Extension.size() &&
         File.compare(File.size() - Extension.size(), Extension.size(),
                      Extension) == 0;
}

Result<void> checkDocument(const std::string &Text, Documents &Parsed) {
  BOOST_LEAF_AUTO(Json, detail::parseJsonObject(Text));
  if (Json.contains("parts")) {
    BOOST_LEAF_CHECK(parseManifest(Text));
  } else if (Json.contains("hosts")) {
    BOOST_LEAF_CHECK(parseHostList(Text));
  } else if (Json.contains("service")) {
    BOOST_LEAF_AUTO(Entry, parseServiceEntry(Text));
    Parsed.Entries_.push_back(std::make_shared<ServiceEntry>(Entry));
  } else {
    BOOST_LEAF_AUTO(Terms, parseContract(Text));
    Parsed.Contracts_.push_back(std::make_shared<Contract>(Terms));
  }
  return {};
}

Result<void> checkFile(const std::string &File, Documents &Parsed) {
  if (isSettingsFile(File)) {
    BOOST_LEAF_CHECK(loadSettings(File));
    return {};
  }
  BOOST_LEAF_AUTO(Text, readFile(File, MaxDocumentBytes));
  return checkDocument(Text, Parsed);
}

/// Runs `Check`, prints its result and returns its exit status.
int runAndPrint(const std::string &Subject,
                const std::function<Result<void>()> &Check) {
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Check());
        std::cout << Subject << ": ok\n";
        return 0;
      },
      [&](const Failure &Cause) {
        const bool StartsWithSubject = Cause.Message_.rfind(Subject, 0) == 0;
        std::cout << (StartsWithSubject ? "" : Subject + ": ") << Cause.Message_
                  << " (" << static_cast<int>(Cause.Code_) << " "
                  << resultCodeName(Cause.Code_) << ")\n";
        return exitStatus(Cause.Code_);
      });
}

} // namespace

int runCheck(int Argc, char **Argv) {
  static const option LongOptions[] = {{"help", no_argument, nullptr, 'h'},
                                       {nullptr, 0, nullptr, 0}};
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "h", LongOptions, nullptr)) != -1) {
    (Option == 'h' ? std::cout : std::cerr) << Usage;
    return Option == 'h' ? 0 : exitStatus(ResultCode::UsageError);
  }
  if (optind == Argc) {
    std::cerr << Usage;
    return exitStatus(ResultCode::UsageError);
  }
  Documents Parsed;
  int Status = 0;
  for (int Index = optind; Index < Argc; ++Index)
    Status = std::max(Status, runAndPrint(Argv[Index], [&] {
                        return checkFile(Argv[Index], Parsed);
                      }));
  const bool HasContractsAndEntries =
      !Parsed.Contracts_.empty() && !Parsed.Entries_.empty();
  if (Status == 0 && HasContractsAndEntries)
    Status = runAndPrint("references", [&]() -> Result<void> {
      BOOST_LEAF_CHECK(buildCatalog(0, Parsed.Contracts_, Parsed.Entries_));
      return {};
    });
  return Status;
}

} // namespace kumquatpitch
