// Early shedding and dropping by deadline. See admission-queue.h.

#include "kumquatpitch/admission-queue.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new service time in the moving averages.
constexpr double ServiceTimeWeight = 0.05;

/// Deviations above the mean that count as typical: about nine of ten requests
/// are served within it, so few are run in vain.
constexpr double TypicalDeviations = 1.5;

/// When estimates alone have kept a slot free for this time, the next request
/// runs nevertheless: without it a too high estimate is never corrected.
constexpr Duration MaxStarvation = std::chrono::milliseconds(100);

Duration microseconds(double Span) {
  return Duration(static_cast<Duration::rep>(Span));
}

} // namespace

void AdmissionQueue::setTerms(const QueueTerms &Terms, std::uint32_t Slots) {
  Terms_ = Terms;
  Slots_ = std::max<std::uint32_t>(Slots, 1);
}

double AdmissionQueue::typicalServiceTime() const {
  return MeanServiceTime_.value_or(0) +
         TypicalDeviations * ServiceTimeDeviation_;
}

Duration AdmissionQueue::estimatedWait() const {
  return microseconds(static_cast<double>(Waiting_.size()) *
                      MeanServiceTime_.value_or(0) / Slots_);
}

std::optional<ResultCode> AdmissionQueue::dropReason(const Entry &Each,
                                                     TimePoint Now) const {
  const double Needed = isStarved(Now) ? 0 : typicalServiceTime();
  if (Now + microseconds(Needed) >= Each.Deadline_)
    return ResultCode::DeadlinePassed;
  if (Now - Each.Arrival_ > Terms_.MaxWait_)
    return ResultCode::QueueWaitTooLong;
  return std::nullopt;
}

bool AdmissionQueue::isStarved(TimePoint Now) const {
  return IdleSince_ && Now - *IdleSince_ >= MaxStarvation;
}

ResultCode AdmissionQueue::offer(QueueKey Key, TimePoint Deadline,
                                 TimePoint Now) {
  if (Now >= Deadline)
    return ResultCode::DeadlinePassed;
  if (Waiting_.size() >= Terms_.MaxRequests_)
    dropHopeless(Now);
  const Duration Wait = estimatedWait();
  const TimePoint End = Now + Wait + microseconds(typicalServiceTime());
  if (!Waiting_.empty() && (Wait > Terms_.MaxWait_ || End > Deadline))
    return ResultCode::QueueWaitTooLong;
  if (Waiting_.size() >= Terms_.MaxRequests_)
    return ResultCode::QueueFull;
  Waiting_.push_back({Key, Now, Deadline});
  return ResultCode::Ok;
}

std::optional<QueueKey> AdmissionQueue::next(TimePoint Now) {
  while (!Waiting_.empty()) {
    const Entry First = Waiting_.front();
    Waiting_.pop_front();
    const std::optional<ResultCode> Reason = dropReason(First, Now);
    if (Reason) {
      drop(First, *Reason, Now);
      continue;
    }
    Relearn_ = Relearn_ || isStarved(Now);
    DroppedByEstimate_ = false;
    IdleSince_.reset();
    return First.Key_;
  }
  if (DroppedByEstimate_ && !IdleSince_)
    IdleSince_ = Now;
  return std::nullopt;
}

void AdmissionQueue::drop(const Entry &Each, ResultCode Reason, TimePoint Now) {
  Dropped_.push_back({Each.Key_, Reason});
  if (Now < Each.Deadline_)
    DroppedByEstimate_ = true;
}

void AdmissionQueue::dropHopeless(TimePoint Now) {
  std::deque<Entry> Kept;
  for (const Entry &Each : Waiting_) {
    const std::optional<ResultCode> Reason = dropReason(Each, Now);
    if (Reason)
      drop(Each, *Reason, Now);
    else
      Kept.push_back(Each);
  }
  Waiting_.swap(Kept);
}

std::vector<DroppedRequest> AdmissionQueue::expired(TimePoint Now) {
  dropHopeless(Now);
  std::vector<DroppedRequest> Gone;
  Gone.swap(Dropped_);
  return Gone;
}

void AdmissionQueue::remove(QueueKey Key) {
  const auto HasKey = [Key](const Entry &Each) { return Each.Key_ == Key; };
  Waiting_.erase(std::remove_if(Waiting_.begin(), Waiting_.end(), HasKey),
                 Waiting_.end());
}

void AdmissionQueue::noteServiceTime(Duration Span) {
  const double Sample = static_cast<double>(Span.count());
  if (Relearn_) {
    MeanServiceTime_ = Sample;
    ServiceTimeDeviation_ = 0;
    Relearn_ = false;
    return;
  }
  const double Mean = MeanServiceTime_.value_or(Sample);
  ServiceTimeDeviation_ +=
      ServiceTimeWeight * (std::abs(Sample - Mean) - ServiceTimeDeviation_);
  MeanServiceTime_ = Mean + ServiceTimeWeight * (Sample - Mean);
}

} // namespace kumquatpitch
