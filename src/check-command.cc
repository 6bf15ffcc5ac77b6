// The check command: checks settings and documents offline with the code that
// the daemon uses at acceptance. See command.h.

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
    "lists (JSON, told apart by their fields). Contracts and service entries\n"
    "that are given together are also checked against each other: each "
    "service\n"
    "that a contract names must have an entry of the same customer.\n";

/// Documents of one call, for the checks between them.
struct Documents {
  std::vector<std::shared_ptr<const Contract>> Contracts_;
  std::vector<std::shared_ptr<const ServiceEntry>> Entries_;
};

bool isSettings(const std::string &File) {
  constexpr std::string_view Ending = ".ini";
  return File.size() > Ending.size() &&
         File.compare(File.size() - Ending.size(), Ending.size(), Ending) == 0;
}

Result<void> checkDocument(const std::string &Text, Documents &Read) {
  BOOST_LEAF_AUTO(Json, detail::parseJsonObject(Text));
  if (Json.contains("parts")) {
    BOOST_LEAF_CHECK(parseManifest(Text));
  } else if (Json.contains("hosts")) {
    BOOST_LEAF_CHECK(parseHostList(Text));
  } else if (Json.contains("service")) {
    BOOST_LEAF_AUTO(Entry, parseServiceEntry(Text));
    Read.Entries_.push_back(std::make_shared<ServiceEntry>(Entry));
  } else {
    BOOST_LEAF_AUTO(Terms, parseContract(Text));
    Read.Contracts_.push_back(std::make_shared<Contract>(Terms));
  }
  return {};
}

Result<void> checkFile(const std::string &File, Documents &Read) {
  if (isSettings(File)) {
    BOOST_LEAF_CHECK(loadSettings(File));
    return {};
  }
  BOOST_LEAF_AUTO(Text, readFile(File, MaxDocumentBytes));
  return checkDocument(Text, Read);
}

/// Reports a check; gives its exit status.
int report(const std::string &Subject,
           const std::function<Result<void>()> &Check) {
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Check());
        std::cout << Subject << ": ok\n";
        return 0;
      },
      [&](const Failure &Cause) {
        const bool NamesFile = Cause.Message_.rfind(Subject, 0) == 0;
        std::cout << (NamesFile ? "" : Subject + ": ") << Cause.Message_ << " ("
                  << static_cast<int>(Cause.Code_) << " "
                  << resultCodeName(Cause.Code_) << ")\n";
        return exitStatus(Cause.Code_);
      });
}

} // namespace

int runCheck(int Argc, char **Argv) {
  static const option Known[] = {{"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "h", Known, nullptr)) != -1) {
    (Code == 'h' ? std::cout : std::cerr) << Usage;
    return Code == 'h' ? 0 : exitStatus(ResultCode::UsageError);
  }
  if (optind == Argc) {
    std::cerr << Usage;
    return exitStatus(ResultCode::UsageError);
  }
  Documents Read;
  int Status = 0;
  for (int Index = optind; Index < Argc; ++Index)
    Status = std::max(Status, report(Argv[Index], [&] {
                        return checkFile(Argv[Index], Read);
                      }));
  const bool HasBoth = !Read.Contracts_.empty() && !Read.Entries_.empty();
  if (Status == 0 && HasBoth)
    Status = report("references", [&]() -> Result<void> {
      BOOST_LEAF_CHECK(buildCatalog(0, Read.Contracts_, Read.Entries_));
      return {};
    });
  return Status;
}

} // namespace kumquatpitch
