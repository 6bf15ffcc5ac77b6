// Parses the options of status and burn. See report-options.h.

#include "kumquatpitch/report-options.h"

#include "kumquatpitch/host-list.h"

#include <charconv>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iterator>
#include <optional>
#include <string_view>

namespace kumquatpitch {

namespace {

constexpr unsigned MaxTimeoutMs = 60'000;
constexpr unsigned MaxPort = 65'535;

enum Option : int { Host = 1, List, Json, Html, TimeoutMs, Help };

constexpr option LongOptions[] = {
    {"host", required_argument, nullptr, Option::Host},
    {"list", required_argument, nullptr, Option::List},
    {"json", no_argument, nullptr, Option::Json},
    {"timeout-ms", required_argument, nullptr, Option::TimeoutMs},
    {"help", no_argument, nullptr, Option::Help},
    {"html", required_argument, nullptr, Option::Html},
    {nullptr, 0, nullptr, 0}};

std::optional<unsigned> parseNumber(std::string_view Text, unsigned Max) {
  unsigned Value = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value == 0 || Value > Max)
    return std::nullopt;
  return Value;
}

Result<HostAddress> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  const std::optional<unsigned> Port =
      Colon == std::string_view::npos
          ? std::nullopt
          : parseNumber(Text.substr(Colon + 1), MaxPort);
  if (!Port || Colon == 0)
    return fail(ResultCode::UsageError,
                "--host needs ADDRESS:PORT, got " + std::string(Text));
  return HostAddress{std::nullopt, Endpoint{std::string(Text.substr(0, Colon)),
                                            static_cast<std::uint16_t>(*Port)}};
}

Result<std::vector<HostAddress>> readHostList(const std::string &File) {
  std::ifstream Input(File, std::ios::binary);
  if (!Input)
    return fail(ResultCode::SettingsUnreadable, "cannot read " + File);
  const std::string Text((std::istreambuf_iterator<char>(Input)),
                         std::istreambuf_iterator<char>());
  Result<HostList> Listed = parseHostList(Text);
  if (!Listed)
    return Listed.error();
  std::vector<HostAddress> Hosts;
  Hosts.reserve(Listed->Hosts_.size());
  for (const HostRecord &Record : Listed->Hosts_)
    Hosts.push_back(HostAddress{
        Record.Id_, Endpoint{Record.Address_, Record.OperatorPort_}});
  return Hosts;
}

Result<void> applyOption(int OptionCode, ReportOptions &Options) {
  switch (OptionCode) {
  case Option::Host: {
    Result<HostAddress> Parsed = parseAddress(optarg);
    if (!Parsed)
      return Parsed.error();
    Options.Hosts_.push_back(Parsed.value());
    return {};
  }
  case Option::List: {
    Result<std::vector<HostAddress>> Listed = readHostList(optarg);
    if (!Listed)
      return Listed.error();
    Options.Hosts_.insert(Options.Hosts_.end(), Listed->begin(), Listed->end());
    return {};
  }
  case Option::Json:
    Options.Json_ = true;
    return {};
  case Option::Html:
    Options.HtmlFile_ = optarg;
    return {};
  case Option::TimeoutMs: {
    const std::optional<unsigned> Ms = parseNumber(optarg, MaxTimeoutMs);
    if (!Ms)
      return fail(ResultCode::UsageError,
                  "--timeout-ms needs a number from 1 to " +
                      std::to_string(MaxTimeoutMs));
    Options.Timeout_ = std::chrono::milliseconds(*Ms);
    return {};
  }
  case Option::Help:
    Options.Help_ = true;
    return {};
  default:
    return fail(ResultCode::UsageError,
                "unknown or incomplete option; see --help");
  }
}

} // namespace

Result<ReportOptions> parseReportOptions(int Argc, char **Argv,
                                         bool AcceptsHtml) {
  ReportOptions Options;
  opterr = 0;
  optind = 0; // Makes getopt_long start from the first argument.
  int OptionCode = 0;
  while ((OptionCode = getopt_long(Argc, Argv, "", LongOptions, nullptr)) !=
         -1) {
    if (OptionCode == Option::Html && !AcceptsHtml)
      return fail(ResultCode::UsageError, "--html is an option of burn only");
    Result<void> Applied = applyOption(OptionCode, Options);
    if (!Applied)
      return Applied.error();
  }
  if (Options.Help_)
    return Options;
  if (optind < Argc)
    return fail(ResultCode::UsageError,
                std::string("unexpected argument ") + Argv[optind]);
  if (Options.Hosts_.empty())
    return fail(ResultCode::UsageError,
                "no hosts; give --host ADDRESS:PORT or --list FILE");
  return Options;
}

int reportFailure(const char *Command, const Failure &Cause) {
  std::fprintf(stderr, "%s: %u %s: %s\n", Command,
               static_cast<unsigned>(Cause.Code_), resultCodeName(Cause.Code_),
               Cause.Message_.c_str());
  return exitStatus(Cause.Code_);
}

} // namespace kumquatpitch
