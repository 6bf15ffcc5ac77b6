// What one read of the store asks for, and how changes are read in parts when
// all together are too long for one read. Used by StoreFollower. Pure logic: no
// I/O and no clock.

#ifndef KUMQUATPITCH_STORE_READ_H
#define KUMQUATPITCH_STORE_READ_H

#include "kumquatpitch/published-state.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <vector>

namespace kumquatpitch {

/// The next read of the store.
struct ReadRequest {
  enum class Kind : std::uint8_t {
    All,
    Changes,       ///< Of targets and of the configuration.
    TargetChanges, ///< Of targets alone.
    Config
  } Kind_ = Kind::All;
  std::uint64_t After_ = 0;
  bool AllowStale_ = false; ///< A cheaper, stale copy of the config will do.
  /// The read only shows that the configuration is recent: its result is not
  /// forwarded, and it does not count as a reader's turn.
  bool IsForProof_ = false;

  bool operator==(const ReadRequest &) const = default;
};

/// Starts the read. A read of all changes waits up to `Wait` for the first one.
void startRead(PublishedStateReader &Store, const ReadRequest &Request,
               Duration Wait, PublishedStateReader::Callback OnRead);

/// Changes that are known to be complete between two revisions.
struct CompleteChanges {
  std::uint64_t After_ = 0;
  std::uint64_t UpTo_ = 0;
  TimePoint AskedAt_; ///< The store was asked for them then.
  std::vector<TargetChange> Targets_;

  bool operator==(const CompleteChanges &) const = default;
};

/// Changes that are read in two parts: those of targets, and then the newest
/// configuration alone. The versions of the configuration in between, each of
/// which may take a slow link a second, are not read.
class SplitRead {
public:
  explicit SplitRead(std::uint64_t After) { Changes_.After_ = After; }

  /// The part to read next.
  ReadRequest next() const;

  /// Records the first part, which was asked for at `AskedAt`.
  void targetsRead(std::uint64_t UpTo, TimePoint AskedAt,
                   std::vector<TargetChange> Targets);

  /// The changes; complete once both parts are read.
  const CompleteChanges &changes() const { return Changes_; }

private:
  CompleteChanges Changes_;
  bool HasTargets_ = false; ///< The first part is read.
};

} // namespace kumquatpitch

#endif
