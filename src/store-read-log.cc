// Lines about reads of the store. See store-read-log.h.

#include "kumquatpitch/store-read-log.h"

namespace kumquatpitch {

/// Bounds the memory for entries that other writers leave.
static constexpr std::size_t MaxKnown = 1'000;
/// A parser's message may repeat a long part of the entry.
static constexpr std::size_t MaxProblemBytes = 200;

void StoreReadLog::write(const PublishedRead &Read, bool IsListing) {
  if (Read.Status_ == ReadStatus::TooLong)
    return Log_.write(LogLevel::Info, "store", "answer_too_long",
                      {{"detail", Read.Detail_}});
  const bool IsOk = Read.Status_ == ReadStatus::Ok;
  if (IsOk != LastSucceeded_ || IsListing)
    Log_.write(IsOk ? LogLevel::Info : LogLevel::Warning, "store",
               IsOk ? "regained" : "lost",
               {{"status", readStatusName(Read.Status_)},
                {"detail", Read.Detail_},
                {"era", std::to_string(Read.Era_)},
                {"revision", std::to_string(Read.Revision_)},
                {"entries", std::to_string(Read.Targets_.size())}});
  LastSucceeded_ = IsOk;
  for (const UnusableEntry &Entry : Read.Unusable_)
    writeUnusable(Entry);
}

void StoreReadLog::writeUnusable(const UnusableEntry &Entry) {
  if (Known_.size() >= MaxKnown && !Known_.contains(Entry.Id_))
    Known_.clear();
  std::uint64_t &KnownRevision = Known_[Entry.Id_];
  if (KnownRevision == Entry.Revision_)
    return;
  KnownRevision = Entry.Revision_;
  Log_.write(LogLevel::Warning, "targets", "entry_unusable",
             {{"target", Entry.Id_.str()},
              {"revision", std::to_string(Entry.Revision_)},
              {"detail", Entry.Problem_.substr(0, MaxProblemBytes)}});
}

} // namespace kumquatpitch
