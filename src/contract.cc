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
constexpr double MinAvailabilityPercent = 50.0;
constexpr double MaxAvailabilityPercent = 99.999;

Route readRoute(JsonReader &Reader) {
  static constexpr const char *Methods[] = {"GET",   "HEAD",   "POST",   "PUT",
                                            "PATCH", "DELETE", "OPTIONS"};
  Route Parsed;
  Parsed.Method_ = Methods[Reader.choice(
      "method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})];
  Parsed.PathPrefix_ = Reader.text("path_prefix", MaxPathBytes);
  if (!Parsed.PathPrefix_.empty() && Parsed.PathPrefix_.front() != '/')
    Reader.reject("path_prefix", "must start with '/'");
  if (Parsed.PathPrefix_.rfind("/.kumquatpitch", 0) == 0)
    Reader.reject("path_prefix", "must not start with /.kumquatpitch, which "
                                 "is reserved");
  Parsed.Idempotent_ = Reader.boolean("idempotent");
  return Parsed;
}

QueueTerms readQueue(JsonReader &Reader) {
  QueueTerms Parsed;
  Parsed.MaxRequests_ = Reader.number("max_requests", 0, MaxQueueRequests);
  Parsed.MaxWait_ = Reader.milliseconds("max_wait_ms", 0, MaxDeadlineMs);
  return Parsed;
}

RetryTerms readRetry(JsonReader &Reader) {
  RetryTerms Parsed;
  Parsed.BudgetPercent_ = Reader.number("budget_percent", 0, MaxRetryPercent);
  Parsed.MaxAttempts_ = Reader.number("max_attempts", 1, MaxAttempts);
  return Parsed;
}

Objective readObjective(JsonReader &Reader) {
  Objective Parsed;
  Parsed.AvailabilityPercent_ = Reader.decimal(
      "availability_percent", MinAvailabilityPercent, MaxAvailabilityPercent);
  Parsed.Latency_ = Reader.milliseconds("latency_ms", 1, MaxDeadlineMs);
  Parsed.WindowDays_ = Reader.number("window_days", 1, MaxWindowDays);
  return Parsed;
}

void readRoutes(JsonReader &Reader, ServiceTerms &Terms) {
  Reader.objects("routes", 1, MaxRoutes, [&](JsonReader &Element) {
    Terms.Routes_.push_back(readRoute(Element));
  });
}

ServiceTerms readTerms(JsonReader &Reader) {
  ServiceTerms Parsed;
  Parsed.Service_ = Reader.name<ServiceTag>("name");
  Parsed.RatePerSecond_ = Reader.number("rate_per_s", 1, MaxRatePerSecond);
  Parsed.InProgress_ = Reader.number("in_progress", 1, MaxInProgress);
  Parsed.MaxBodyBytes_ = Reader.number("max_body_bytes", 0, MaxTransferBytes);
  Parsed.MaxAnswerBytes_ =
      Reader.number("max_answer_bytes", 0, MaxTransferBytes);
  Parsed.Deadline_ = Reader.milliseconds("deadline_ms", 1, MaxDeadlineMs);
  Reader.optionalObject(
      "queue", [&](JsonReader &Nested) { Parsed.Queue_ = readQueue(Nested); });
  Reader.optionalObject(
      "retry", [&](JsonReader &Nested) { Parsed.Retry_ = readRetry(Nested); });
  bool HasObjective = false;
  Reader.optionalObject("slo", [&](JsonReader &Nested) {
    Parsed.Slo_ = readObjective(Nested);
    HasObjective = true;
  });
  if (!HasObjective)
    Reader.reject("slo", "is missing");
  if (Parsed.Queue_.MaxWait_ > Parsed.Deadline_)
    Reader.reject("queue.max_wait_ms", "must not exceed deadline_ms");
  readRoutes(Reader, Parsed);
  return Parsed;
}

void rejectDuplicates(JsonReader &Reader, const Contract &Parsed) {
  std::set<ServiceName> Services;
  std::set<std::pair<std::string, std::string>> Routes;
  for (const ServiceTerms &Terms : Parsed.Services_) {
    if (!Services.insert(Terms.Service_).second)
      Reader.reject("services",
                    "name \"" + Terms.Service_.str() + "\" appears twice");
    for (const Route &Entry : Terms.Routes_)
      if (!Routes.emplace(Entry.Method_, Entry.PathPrefix_).second)
        Reader.reject("services", "route " + Entry.Method_ + " " +
                                      Entry.PathPrefix_ + " appears twice");
  }
}

/// True when `Prefix` is a prefix of `Path` that ends at the end of a segment.
bool matchesPathPrefix(std::string_view Prefix, std::string_view Path) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

Contract readContract(JsonReader &Reader) {
  Contract Parsed;
  Parsed.Customer_ = Reader.name<CustomerTag>("customer");
  Parsed.Version_ = Reader.number("version", 1, UINT64_MAX);
  Reader.objects("services", 1, MaxServices, [&](JsonReader &Element) {
    Parsed.Services_.push_back(readTerms(Element));
  });
  rejectDuplicates(Reader, Parsed);
  return Parsed;
}

} // namespace

Result<Contract> parseContract(std::string_view Json) {
  return detail::parseDocument(Json, readContract);
}

RouteMatch findRoute(const Contract &CustomerContract, std::string_view Method,
                     std::string_view Path) {
  RouteMatch Best;
  for (const ServiceTerms &Service : CustomerContract.Services_)
    for (const Route &Candidate : Service.Routes_) {
      if (Candidate.Method_ != Method ||
          !matchesPathPrefix(Candidate.PathPrefix_, Path))
        continue;
      if (!Best.Route_ ||
          Candidate.PathPrefix_.size() > Best.Route_->PathPrefix_.size())
        Best = RouteMatch{&Service, &Candidate};
    }
  return Best;
}

const ServiceTerms *findTerms(const Contract &CustomerContract,
                              const ServiceName &Service) {
  const std::vector<ServiceTerms>::const_iterator It = std::find_if(
      CustomerContract.Services_.begin(), CustomerContract.Services_.end(),
      [&](const ServiceTerms &Candidate) {
        return Candidate.Service_ == Service;
      });
  return It == CustomerContract.Services_.end() ? nullptr : &*It;
}

} // namespace kumquatpitch
