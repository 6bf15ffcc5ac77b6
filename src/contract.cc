// Parses contracts and finds routes. See contract.h.

#include "kumquatpitch/contract.h"

#include "kumquatpitch/json-reader.h"

#include <algorithm>
#include <set>

namespace kumquatpitch {

namespace {

using detail::JsonReader;

constexpr std::uint64_t MaxRatePerSecond = 1'000'000;
constexpr std::uint64_t MaxInProgress = 1'000'000;
constexpr std::uint64_t MaxTransferBytes = 64ULL << 20;
constexpr std::uint64_t MaxDeadlineMs = 120'000;
constexpr std::uint64_t MaxQueueRequests = 10'000;
constexpr std::uint64_t MaxRetryPercent = 100;
constexpr std::uint64_t MaxAttempts = 5;
constexpr std::uint64_t MaxWindowDays = 90;
constexpr std::size_t MaxServices = 4'000;
constexpr std::size_t MaxRoutes = 100;
constexpr std::size_t MaxPathBytes = 1'024;
constexpr double LeastAvailability = 50.0;
constexpr double MostAvailability = 99.999;

Route readRoute(JsonReader &Reader) {
  static constexpr const char *Methods[] = {"GET",   "HEAD",   "POST",   "PUT",
                                            "PATCH", "DELETE", "OPTIONS"};
  Route Read;
  Read.Method_ = Methods[Reader.choice(
      "method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})];
  Read.PathPrefix_ = Reader.text("path_prefix", MaxPathBytes);
  if (!Read.PathPrefix_.empty() && Read.PathPrefix_.front() != '/')
    Reader.reject("path_prefix", "must start with '/'");
  if (Read.PathPrefix_.rfind("/.kumquatpitch", 0) == 0)
    Reader.reject("path_prefix", "must not start with /.kumquatpitch, which "
                                 "is the system's own");
  Read.Idempotent_ = Reader.boolean("idempotent");
  return Read;
}

QueueTerms readQueue(JsonReader &Reader) {
  QueueTerms Read;
  Read.MaxRequests_ = Reader.number("max_requests", 0, MaxQueueRequests);
  Read.MaxWait_ = Reader.milliseconds("max_wait_ms", 0, MaxDeadlineMs);
  return Read;
}

RetryTerms readRetry(JsonReader &Reader) {
  RetryTerms Read;
  Read.BudgetPercent_ = Reader.number("budget_percent", 0, MaxRetryPercent);
  Read.MaxAttempts_ = Reader.number("max_attempts", 1, MaxAttempts);
  return Read;
}

Objective readObjective(JsonReader &Reader) {
  Objective Read;
  Read.AvailabilityPercent_ = Reader.decimal(
      "availability_percent", LeastAvailability, MostAvailability);
  Read.Latency_ = Reader.milliseconds("latency_ms", 1, MaxDeadlineMs);
  Read.WindowDays_ = Reader.number("window_days", 1, MaxWindowDays);
  return Read;
}

void readRoutes(JsonReader &Reader, ServiceTerms &Terms) {
  Reader.objects("routes", 1, MaxRoutes, [&](JsonReader &Element) {
    Terms.Routes_.push_back(readRoute(Element));
  });
}

ServiceTerms readTerms(JsonReader &Reader) {
  ServiceTerms Read;
  Read.Service_ = Reader.name<ServiceTag>("name");
  Read.RatePerSecond_ = Reader.number("rate_per_s", 1, MaxRatePerSecond);
  Read.InProgress_ = Reader.number("in_progress", 1, MaxInProgress);
  Read.MaxBodyBytes_ = Reader.number("max_body_bytes", 0, MaxTransferBytes);
  Read.MaxAnswerBytes_ = Reader.number("max_answer_bytes", 0, MaxTransferBytes);
  Read.Deadline_ = Reader.milliseconds("deadline_ms", 1, MaxDeadlineMs);
  Reader.optionalObject(
      "queue", [&](JsonReader &Nested) { Read.Queue_ = readQueue(Nested); });
  Reader.optionalObject(
      "retry", [&](JsonReader &Nested) { Read.Retry_ = readRetry(Nested); });
  bool HasObjective = false;
  Reader.optionalObject("slo", [&](JsonReader &Nested) {
    Read.Slo_ = readObjective(Nested);
    HasObjective = true;
  });
  if (!HasObjective)
    Reader.reject("slo", "is missing");
  if (Read.Queue_.MaxWait_ > Read.Deadline_)
    Reader.reject("queue.max_wait_ms", "must not exceed deadline_ms");
  readRoutes(Reader, Read);
  return Read;
}

void checkDuplicates(JsonReader &Reader, const Contract &Read) {
  std::set<ServiceName> Services;
  std::set<std::pair<std::string, std::string>> Routes;
  for (const ServiceTerms &Terms : Read.Services_) {
    if (!Services.insert(Terms.Service_).second)
      Reader.reject("services",
                    "name \"" + Terms.Service_.str() + "\" is there twice");
    for (const Route &Path : Terms.Routes_)
      if (!Routes.emplace(Path.Method_, Path.PathPrefix_).second)
        Reader.reject("services", "route " + Path.Method_ + " " +
                                      Path.PathPrefix_ + " is there twice");
  }
}

/// True when `Prefix` covers `Path` up to the end of a path segment.
bool coversPath(std::string_view Prefix, std::string_view Path) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

Contract readContract(JsonReader &Reader) {
  Contract Read;
  Read.Customer_ = Reader.name<CustomerTag>("customer");
  Read.Version_ = Reader.number("version", 1, UINT64_MAX);
  Reader.objects("services", 1, MaxServices, [&](JsonReader &Element) {
    Read.Services_.push_back(readTerms(Element));
  });
  checkDuplicates(Reader, Read);
  return Read;
}

} // namespace

Result<Contract> parseContract(std::string_view Json) {
  return detail::parseDocument(Json, readContract);
}

RouteMatch findRoute(const Contract &Terms, std::string_view Method,
                     std::string_view Path) {
  RouteMatch Best;
  for (const ServiceTerms &Service : Terms.Services_)
    for (const Route &Candidate : Service.Routes_) {
      if (Candidate.Method_ != Method ||
          !coversPath(Candidate.PathPrefix_, Path))
        continue;
      if (!Best.Route_ ||
          Candidate.PathPrefix_.size() > Best.Route_->PathPrefix_.size())
        Best = RouteMatch{&Service, &Candidate};
    }
  return Best;
}

const ServiceTerms *findTerms(const Contract &Terms,
                              const ServiceName &Service) {
  const std::vector<ServiceTerms>::const_iterator It = std::find_if(
      Terms.Services_.begin(), Terms.Services_.end(),
      [&](const ServiceTerms &Each) { return Each.Service_ == Service; });
  return It == Terms.Services_.end() ? nullptr : &*It;
}

} // namespace kumquatpitch
