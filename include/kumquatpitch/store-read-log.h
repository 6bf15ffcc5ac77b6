// Log lines about reads of the store: when it is lost and regained, and which
// entries of it cannot be used.

#ifndef KUMQUATPITCH_STORE_READ_LOG_H
#define KUMQUATPITCH_STORE_READ_LOG_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/published-state.h"

#include <map>

namespace kumquatpitch {

class StoreReadLog {
public:
  explicit StoreReadLog(EventLog &Log) : Log_(Log) {}

  /// Logs what is new in a read. `IsListing` is true for a read of all entries,
  /// which is always logged.
  void write(const PublishedRead &Read, bool IsListing);

private:
  void writeUnusable(const UnusableEntry &Entry);

  EventLog &Log_;
  bool LastSucceeded_ = true;
  /// Revisions of the unusable entries that were logged, so that a listing
  /// logs no entry again. At most MaxKnown entries.
  std::map<TargetId, std::uint64_t> Known_;
};

} // namespace kumquatpitch

#endif
