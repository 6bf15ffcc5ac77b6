// At-most-once record of the non-idempotent requests whose token binds them to
// this incarnation. RequestFlow consults it for each of them. It must not
// depend on another host's state or clock.

#ifndef KUMQUATPITCH_REQUEST_REGISTRY_H
#define KUMQUATPITCH_REQUEST_REGISTRY_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/request-token.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatpitch {

/// Length of a token epoch.
constexpr Duration TokenEpoch = std::chrono::seconds(30);

/// Number of epochs before the current one whose tokens are still accepted.
constexpr std::uint64_t PastTokenEpochs = 10;

/// Longest request id in bytes.
constexpr std::size_t MaxRequestIdBytes = 64;

/// Bounds of a registry. The defaults hold 4 times the ids that 67 requests/s
/// produce in 330 s, and one customer can use half of the entries.
struct RegistryLimits {
  std::size_t MaxEntries_ = 100'000;
  std::size_t MaxBytes_ = 32'000'000;
  std::size_t MaxCustomerEntries_ = 50'000;

  bool operator==(const RegistryLimits &) const = default;
};

/// Identifies a caller's request.
struct RequestKey {
  CustomerName Customer_; ///< From the port; a caller cannot choose it.
  ServiceName Service_;   ///< From the route.
  std::string Id_;        ///< 1 to MaxRequestIdBytes printable characters.
  /// Incremented by the caller for each resend after a `not-run`. Once a number
  /// was answered with `not-run`, no copy with that number runs, however late
  /// it arrives.
  std::uint32_t Resend_ = 0;

  bool operator==(const RequestKey &) const = default;
};

/// Whether a request may run now; if not, the code and outcome of its refusal.
struct BeginResult {
  bool Run_ = false;
  ResultCode Code_ = ResultCode::Ok;
  Outcome Outcome_ = Outcome::Unknown;

  bool operator==(const BeginResult &) const = default;
};

/// At-most-once record of one incarnation. An id is unique within a customer's
/// service, independent of the epoch of its token.
class RequestRegistry {
public:
  /// `Start` is the start of the incarnation on the host's own clock.
  RequestRegistry(HostId Host, Incarnation OwnIncarnation, TimePoint Start,
                  RegistryLimits Limits = {});

  /// Not copyable: the buckets of a copy would point into the original's map.
  RequestRegistry(const RequestRegistry &) = delete;
  RequestRegistry &operator=(const RequestRegistry &) = delete;
  RequestRegistry(RequestRegistry &&) = default;
  RequestRegistry &operator=(RequestRegistry &&) = default;

  /// Epoch for tokens issued at `Now`.
  std::uint64_t issueEpoch(TimePoint Now);

  /// Issues a token of this incarnation for a service.
  RequestToken issueToken(const ServiceName &Service, TimePoint Now);

  /// Decides on a request before any of it is sent. If `Run_` is set, the id is
  /// in progress until finish(). A refusal as `not-run` is final for the
  /// token, the id and its resend number.
  ///
  /// Has to be called before every other check that refuses a request with a
  /// token as `not-run`, and such a refusal has to be recorded with finish().
  /// Otherwise a delayed copy could run after the caller received `not-run`.
  BeginResult begin(const RequestToken &Token, const RequestKey &Key,
                    TimePoint Now);

  /// Records the outcome of a request in progress. Ignored for other requests,
  /// such as one whose epoch has expired.
  void finish(const RequestToken &Token, const RequestKey &Key, Outcome Value,
              TimePoint Now);

  /// Removes ids whose tokens are no longer accepted.
  void expire(TimePoint Now);

  std::size_t entries() const { return Entries_.size(); }

  /// Estimated heap use in bytes.
  std::size_t bytes() const { return Bytes_; }

private:
  enum class State : std::uint8_t { InProgress, Ran, NotRun, Unknown };

  struct Entry {
    std::uint64_t LastEpoch_ = 0; ///< Newest epoch of the tokens seen with it.
    std::uint32_t Resend_ = 0;    ///< Highest resend number that was begun.
    State State_ = State::InProgress;
  };

  struct Usage {
    std::size_t Entries_ = 0;
    std::uint64_t MinNewEpoch_ = 0; ///< Oldest token epoch for new ids.
  };

  using EntryMap = std::unordered_map<std::string, Entry>;

  /// The entries that expire with one epoch. Each entry is in one bucket.
  struct Bucket {
    std::uint64_t Epoch_ = 0;
    std::vector<const EntryMap::value_type *> Members_;
  };

  static std::string mapKey(const RequestKey &Key);
  static std::size_t entryBytes(const std::string &MapKey);
  BeginResult beginExisting(Entry &Existing, const RequestToken &Token,
                            const RequestKey &Key);
  BeginResult beginNew(const std::string &MapKey, const RequestToken &Token,
                       const CustomerName &Customer, std::uint32_t Resend);
  bool isFull(const Usage &Customer, std::size_t MoreBytes) const;
  void expireBucket(const Bucket &Expired);
  void addToBucket(std::uint64_t Epoch, const EntryMap::value_type *Member);
  void eraseEntry(const EntryMap::value_type *Member);

  HostId Host_;
  Incarnation Incarnation_;
  TimePoint Start_;
  RegistryLimits Limits_;
  /// Never decreases, even if `Now` does: an id that was removed at a later
  /// time must not be accepted again at an earlier one.
  std::uint64_t CurrentEpoch_ = 0;
  EntryMap Entries_;
  /// In ascending order of epochs; at most PastTokenEpochs + 1.
  std::deque<Bucket> Buckets_;
  std::map<CustomerName, Usage> Usage_;
  std::size_t Bytes_ = 0;
};

} // namespace kumquatpitch

#endif
