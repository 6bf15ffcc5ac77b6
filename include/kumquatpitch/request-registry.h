// Remembers the requests that may not be repeated and that were bound to this
// incarnation, so that each runs at most once. HostCore calls it for every
// request with a token. It must not see another host's state or clock.

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

/// Epochs before the current one whose tokens are accepted.
constexpr std::uint64_t PastTokenEpochs = 10;

/// Longest request id in bytes.
constexpr std::size_t MaxRequestIdBytes = 64;

/// Bounds of a registry. The defaults hold 4 times the ids of 67 requests/s
/// over 330 s, and one customer can take half of them.
struct RegistryLimits {
  std::size_t MaxEntries_ = 100'000;
  std::size_t MaxBytes_ = 32'000'000;
  std::size_t MaxCustomerEntries_ = 50'000;

  bool operator==(const RegistryLimits &) const = default;
};

/// Names a request of a caller.
struct RequestKey {
  CustomerName Customer_; ///< From the port; a caller cannot choose it.
  ServiceName Service_;   ///< From the route.
  std::string Id_;        ///< 1 to MaxRequestIdBytes printable characters.
  /// Raised by the caller each time it sends again after a `not-run`. A copy
  /// with a number that was told `not-run` never runs, however late it arrives.
  std::uint32_t Resend_ = 0;

  bool operator==(const RequestKey &) const = default;
};

/// Whether a request runs now; otherwise the code and outcome of its refusal.
struct BeginAnswer {
  bool Run_ = false;
  ResultCode Code_ = ResultCode::Ok;
  Outcome Outcome_ = Outcome::Unknown;

  bool operator==(const BeginAnswer &) const = default;
};

/// At-most-once record of one incarnation. An id belongs to a customer's
/// service, whichever accepted epoch its token has.
class RequestRegistry {
public:
  /// `Start` is the incarnation's start on its own clock.
  RequestRegistry(HostId Host, Incarnation Run, TimePoint Start,
                  RegistryLimits Limits = {});

  /// Buckets point into the map, so a copy would point into the original.
  RequestRegistry(const RequestRegistry &) = delete;
  RequestRegistry &operator=(const RequestRegistry &) = delete;
  RequestRegistry(RequestRegistry &&) = default;
  RequestRegistry &operator=(RequestRegistry &&) = default;

  /// Epoch for tokens issued at `Now`.
  std::uint64_t issueEpoch(TimePoint Now);

  /// Token of this incarnation for a service.
  RequestToken issueToken(const ServiceName &Service, TimePoint Now);

  /// Decides on a request before anything of it is sent. With `Run_` the id is
  /// in progress until finish(). A refusal as `not-run` is final for the
  /// token, the id and its resend number.
  ///
  /// HostCore calls it before any other check that refuses a request with a
  /// token as `not-run`, and reports such a refusal with finish(): otherwise a
  /// delayed copy could run after its caller was told `not-run`.
  BeginAnswer begin(const RequestToken &Token, const RequestKey &Key,
                    TimePoint Now);

  /// Records the outcome of a request in progress. Ignored for any other, such
  /// as one whose epoch expired.
  void finish(const RequestToken &Token, const RequestKey &Key, Outcome Value,
              TimePoint Now);

  /// Forgets ids whose tokens are no longer accepted.
  void expire(TimePoint Now);

  std::size_t entries() const { return Entries_.size(); }

  /// Estimated bytes of heap in use.
  std::size_t bytes() const { return Bytes_; }

private:
  enum class State : std::uint8_t { InProgress, Ran, NotRun, Unknown };

  struct Entry {
    std::uint64_t LastEpoch_ = 0; ///< Newest epoch of a token with this id.
    std::uint32_t Resend_ = 0;    ///< Highest number that ran or was refused.
    State State_ = State::InProgress;
  };

  struct Usage {
    std::size_t Entries_ = 0;
    std::uint64_t OpenEpoch_ = 0; ///< New ids need a token from here on.
  };

  using EntryMap = std::unordered_map<std::string, Entry>;

  /// Accepted epoch whose entries expire together. Each entry is in one.
  struct Bucket {
    std::uint64_t Epoch_ = 0;
    std::vector<const EntryMap::value_type *> Members_;
  };

  static std::string storedKey(const RequestKey &Key);
  static std::size_t chargedBytes(const std::string &Stored);
  BeginAnswer beginKnown(Entry &Known, const RequestToken &Token,
                         const RequestKey &Key);
  BeginAnswer beginNew(const std::string &Stored, const RequestToken &Token,
                       const CustomerName &Customer, std::uint32_t Resend);
  bool isFull(const Usage &Customer, std::size_t MoreBytes) const;
  void expireBucket(const Bucket &Old);
  void addToBucket(std::uint64_t Epoch, const EntryMap::value_type *Member);
  void forget(const EntryMap::value_type *Member);

  HostId Host_;
  Incarnation Incarnation_;
  TimePoint Start_;
  RegistryLimits Limits_;
  /// Never goes back: an id that was forgotten under a later time must not be
  /// accepted again under an earlier one.
  std::uint64_t CurrentEpoch_ = 0;
  EntryMap Entries_;
  std::deque<Bucket> Buckets_; ///< Ascending; at most PastTokenEpochs + 1.
  std::map<CustomerName, Usage> Usage_;
  std::size_t Bytes_ = 0;
};

} // namespace kumquatpitch

#endif
