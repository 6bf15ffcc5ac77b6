// A customer's contract: the one document that every limit of the customer
// follows from. Parsed and checked here for the daemon and the check command.

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

/// Largest document in bytes: the platform holds values up to a megabyte.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// Requests that a service's caller may send: a method and the start of the
/// path.
struct Route {
  std::string Method_;
  std::string PathPrefix_; ///< Starts with '/'.
  bool Idempotent_ = false;

  bool operator==(const Route &) const = default;
};

/// Requests that may wait for a slot.
struct QueueTerms {
  std::uint32_t MaxRequests_ = 0;
  Duration MaxWait_{};

  bool operator==(const QueueTerms &) const = default;
};

/// Retries and hedges of idempotent requests.
struct RetryTerms {
  std::uint32_t BudgetPercent_ = 0; ///< Retries for each 100 first attempts.
  std::uint32_t MaxAttempts_ = 1;   ///< Including the first attempt.

  bool operator==(const RetryTerms &) const = default;
};

/// Service-level objective.
struct Objective {
  double AvailabilityPercent_ = 0; ///< Of requests that are good.
  Duration Latency_{};             ///< A slower answer is a bad one.
  std::uint32_t WindowDays_ = 28;

  bool operator==(const Objective &) const = default;
};

/// What a contract gives its customer at one service.
struct ServiceTerms {
  ServiceName Service_;
  std::uint32_t RatePerSecond_ = 0; ///< Over all hosts together.
  std::uint32_t InProgress_ = 0;    ///< Over all hosts together.
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
/// or DocumentTooLarge; the message names the field and what would be right.
Result<Contract> parseContract(std::string_view Json);

/// Route with the longest prefix of `Path` for `Method`; both pointers are null
/// when there is none. A prefix ends at a path segment's end. The pointers live
/// as long as `Terms`.
RouteMatch findRoute(const Contract &Terms, std::string_view Method,
                     std::string_view Path);

/// Terms for a service, or null.
const ServiceTerms *findTerms(const Contract &Terms,
                              const ServiceName &Service);

} // namespace kumquatpitch

#endif
