// Interface to the store in which operators publish the routing configuration
// and backend servers register themselves as targets. Both are read as one
// stream of revisions. platform/ implements it; tests use a fake.

#ifndef KUMQUATPITCH_PUBLISHED_STATE_H
#define KUMQUATPITCH_PUBLISHED_STATE_H

#include "kumquatpitch/routing-config.h"
#include "kumquatpitch/target-directory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

enum class ReadStatus : std::uint8_t {
  Ok,
  HistoryGone, ///< The requested changes are no longer kept; call listAll().
  Refused,     ///< The store rejected the call and did nothing.
  TooLong,     ///< The answer exceeds the limit of the call; read parts of it.
  Failed,      ///< No complete answer, or one that cannot be parsed.
};

/// Fixed name of a status for logs, such as `history_gone`.
const char *readStatusName(ReadStatus Status);

/// A change of one target's entry.
struct TargetChange {
  TargetId Id_;
  std::uint64_t Revision_ = 0;
  /// None when the entry was removed or does not describe a usable target.
  std::optional<TargetEntry> Entry_;

  bool operator==(const TargetChange &) const = default;
};

/// An entry that does not describe a usable target, and why.
struct UnusableEntry {
  TargetId Id_;
  std::uint64_t Revision_ = 0;
  std::string Problem_;

  bool operator==(const UnusableEntry &) const = default;
};

/// A routing configuration and the revision at which it was published.
struct PublishedConfig {
  std::uint64_t Revision_ = 0;
  std::shared_ptr<const RouteTable> Table_;
};

/// Result of any read of the store.
struct PublishedRead {
  ReadStatus Status_ = ReadStatus::Failed;
  std::string Detail_; ///< What failed; only for the log.
  /// Rises each time the store comes back from an older copy and gives out
  /// revisions again. Revisions of different eras cannot be compared.
  std::uint64_t Era_ = 0;
  /// The result covers all changes up to this revision.
  std::uint64_t Revision_ = 0;
  std::vector<TargetChange> Targets_;
  std::vector<UnusableEntry> Unusable_;   ///< Only for the log.
  std::optional<PublishedConfig> Config_; ///< None when unchanged.
};

class PublishedStateReader {
public:
  using Callback = std::function<void(PublishedRead)>;

  virtual ~PublishedStateReader() = default;

  /// Reads all published state. Calls back exactly once, and only after
  /// listAll() has returned.
  virtual void listAll(Callback OnRead) = 0;

  /// Reads the changes after `Revision`; waits up to `Wait` for the first one.
  /// All versions of the configuration since then are among them.
  virtual void readChanges(std::uint64_t Revision, Duration Wait,
                           Callback OnRead) = 0;

  /// Reads the changes of targets' entries after `Revision`, without waiting.
  virtual void readTargetChanges(std::uint64_t Revision, Callback OnRead) = 0;

  /// Reads only the configuration. With `AllowStale` the result may be some
  /// seconds old, which costs the store less.
  virtual void readConfig(bool AllowStale, Callback OnRead) = 0;
};

} // namespace kumquatpitch

#endif
