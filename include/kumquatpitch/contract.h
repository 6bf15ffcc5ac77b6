// A customer's contract: the document that sets all limits of the customer.
// Parsed and validated here for the daemon and the check command.

#ifndef KUMQUATPITCH_CONTRACT_H
#define KUMQUATPITCH_CONTRACT_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// Maximum size of a document in bytes: the platform stores values of up to one
/// megabyte.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// Requests that callers of a service may send, given by the method and a
/// prefix of the path.
struct Route {
  std::string Method_;
  std::string PathPrefix_; ///< Starts with '/'.
  bool Idempotent_ = false;

  bool operator==(const Route &) const = default;
};

/// Limits of the queue in which requests wait for a slot.
struct QueueTerms {
  std::uint32_t MaxRequests_ = 0;
  Duration MaxWait_{};

  bool operator==(const QueueTerms &) const = default;
};

/// Limits for retries and hedged attempts of idempotent requests.
struct RetryTerms {
  std::uint32_t BudgetPercent_ = 0; ///< Retries per 100 first attempts.
  std::uint32_t MaxAttempts_ = 1;   ///< Including the first attempt.

  bool operator==(const RetryTerms &) const = default;
};

/// Service-level objective.
struct Objective {
  double AvailabilityPercent_ = 0; ///< Share of requests that must be good.
  Duration Latency_{};             ///< A slower answer counts as bad.
  std::uint32_t WindowDays_ = 28;

  bool operator==(const Objective &) const = default;
};

/// What a contract grants its customer for one service.
struct ServiceTerms {
  ServiceName Service_;
  std::uint32_t RatePerSecond_ = 0; ///< Limit for all hosts together.
  std::uint32_t InProgress_ = 0;    ///< Limit for all hosts together.
  std::uint64_t MaxBodyBytes_ = 0;
  std::uint64_t MaxAnswerBytes_ = 0;
  Duration Deadline_{}; ///< Longest deadline of a request.
  QueueTerms Queue_;
  RetryTerms Retry_;
  Objective Slo_;
  std::vector<Route> Routes_;

  bool operator==(const ServiceTerms &) const = default;
};

/// One customer's contract.
struct Contract {
  CustomerName Customer_;
  std::uint64_t Version_ = 0;
  std::vector<ServiceTerms> Services_;

  bool operator==(const Contract &) const = default;
};

/// The service and route that a request belongs to.
struct RouteMatch {
  const ServiceTerms *Terms_ = nullptr;
  const Route *Route_ = nullptr;

  bool operator==(const RouteMatch &) const = default;
};

/// Parses a contract from JSON. Fails with DocumentMalformed, DocumentInvalid
/// or DocumentTooLarge; the message names the field and the valid values.
Result<Contract> parseContract(std::string_view Json);

/// Route for `Method` whose prefix is the longest that matches `Path`; both
/// pointers are null when none does. A prefix matches only whole path segments.
/// The pointers are valid as long as `CustomerContract`.
RouteMatch findRoute(const Contract &CustomerContract, std::string_view Method,
                     std::string_view Path);

/// Terms of a service, or null.
const ServiceTerms *findTerms(const Contract &CustomerContract,
                              const ServiceName &Service);

} // namespace kumquatpitch

#endif
