// Counts and classifies requests against an objective. See burn-rate.h.

#include "kumquatpitch/burn-rate.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace kumquatpitch {

namespace {

constexpr std::chrono::seconds RecentBucket{15};
constexpr std::size_t RecentBuckets = 20;
constexpr std::chrono::minutes MinuteBucket{1};
constexpr std::size_t MinuteBuckets = 360;
constexpr std::size_t SloBuckets = 112;
constexpr double FastBudgetShare = 0.02;
constexpr double SlowBudgetShare = 0.05;
constexpr double SlowHours = 6;
constexpr int FirstServerError = 500;

Duration sloLength(const Objective &Slo) {
  return std::chrono::hours(24) * Slo.WindowDays_;
}

Duration sloBucket(const Objective &Slo) {
  return sloLength(Slo) / static_cast<std::int64_t>(SloBuckets);
}

double allowedBadShare(const Objective &Slo) {
  return 1.0 - Slo.AvailabilityPercent_ / 100.0;
}

/// Cause for a request that failed with a result code; none if it does not
/// count.
std::optional<BurnCause> causeForCode(ResultCode Code) {
  switch (Code) {
  case ResultCode::RequestMalformed:
  case ResultCode::RequestHeadTooLarge:
  case ResultCode::RequestBodyTooLarge:
  case ResultCode::RouteUnknown:
  case ResultCode::ServiceUnknown:
  case ResultCode::WrongHost:
  case ResultCode::TokenInvalid:
  case ResultCode::RequestDuplicate:
  case ResultCode::RequestIncomplete:
  case ResultCode::CallerGone:
  case ResultCode::RequestAlreadyRan:
    return std::nullopt;
  case ResultCode::NoTarget:
  case ResultCode::BackendUnreachable:
    return BurnCause::Ejected;
  case ResultCode::BackendRefused:
  case ResultCode::QueueFull:
  case ResultCode::QueueWaitTooLong:
  case ResultCode::WorkersBusy:
  case ResultCode::RegistryFull:
  case ResultCode::HostLeaving:
  case ResultCode::BuffersFull:
  case ResultCode::NotReady:
    return BurnCause::Shed;
  case ResultCode::RateExceeded:
  case ResultCode::InProgressExceeded:
    return BurnCause::OverLimit;
  case ResultCode::BackendTimeout:
  case ResultCode::DeadlinePassed:
    return BurnCause::Deadline;
  default:
    return BurnCause::Unknown;
  }
}

} // namespace

const char *burnCauseName(BurnCause Cause) {
  static constexpr const char *Names[] = {
      "ejected", "shed", "over_limit", "deadline", "unknown", "slow", "failed"};
  return Names[static_cast<std::size_t>(Cause)];
}

std::optional<RequestClass> classifyRequest(const CompletedRequest &End,
                                            const Objective &Slo) {
  if (End.Code_ == ResultCode::Ok) {
    if (End.HttpStatus_ >= FirstServerError)
      return RequestClass{BurnCause::Failed, End.Outcome_};
    if (End.Latency_ > Slo.Latency_)
      return RequestClass{BurnCause::Slow, End.Outcome_};
    return RequestClass{std::nullopt, End.Outcome_};
  }
  const std::optional<BurnCause> Cause = causeForCode(End.Code_);
  if (!Cause)
    return std::nullopt;
  return RequestClass{Cause, End.Outcome_};
}

std::uint64_t BurnCounts::bad() const {
  return std::accumulate(BadByCause_.begin(), BadByCause_.end(),
                         std::uint64_t{0});
}

void BurnCounts::add(const BurnCounts &Other) {
  Good_ += Other.Good_;
  for (std::size_t Index = 0; Index < BadByCause_.size(); ++Index)
    BadByCause_[Index] += Other.BadByCause_[Index];
  for (std::size_t Index = 0; Index < BadByOutcome_.size(); ++Index)
    BadByOutcome_[Index] += Other.BadByOutcome_[Index];
}

void BurnCounts::add(const RequestClass &Class) {
  if (!Class.Cause_) {
    ++Good_;
    return;
  }
  ++BadByCause_[static_cast<std::size_t>(*Class.Cause_)];
  ++BadByOutcome_[static_cast<std::size_t>(Class.Outcome_)];
}

CountRing::CountRing(TimePoint Start, Duration BucketLength,
                     std::size_t Buckets)
    : Start_(Start), Length_(BucketLength), Buckets_(Buckets) {}

std::int64_t CountRing::indexAt(TimePoint Now) const {
  return std::max((Now - Start_) / Length_, Newest_);
}

BurnCounts &CountRing::bucketAt(std::int64_t Index) {
  const std::int64_t Size = static_cast<std::int64_t>(Buckets_.size());
  const std::int64_t FirstStale = std::max(Newest_ + 1, Index - Size + 1);
  for (std::int64_t Stale = FirstStale; Stale <= Index; ++Stale)
    Buckets_[static_cast<std::size_t>(Stale % Size)] = BurnCounts{};
  Newest_ = std::max(Newest_, Index);
  return Buckets_[static_cast<std::size_t>(Index % Size)];
}

const BurnCounts *CountRing::find(std::int64_t Index) const {
  const std::int64_t Size = static_cast<std::int64_t>(Buckets_.size());
  if (Index < 0 || Index > Newest_ || Index <= Newest_ - Size)
    return nullptr;
  return &Buckets_[static_cast<std::size_t>(Index % Size)];
}

void CountRing::add(const RequestClass &Class, TimePoint Now) {
  bucketAt(indexAt(Now)).add(Class);
}

BurnCounts CountRing::sumLast(std::size_t FullBuckets, TimePoint Now) const {
  return sumRange(0, FullBuckets + 1, Now);
}

BurnCounts CountRing::sumRange(std::size_t Skip, std::size_t Count,
                               TimePoint Now) const {
  BurnCounts Sum;
  const std::int64_t Current = indexAt(Now) - static_cast<std::int64_t>(Skip);
  for (std::size_t Age = 0; Age < Count; ++Age)
    if (const BurnCounts *Bucket =
            find(Current - static_cast<std::int64_t>(Age)))
      Sum.add(*Bucket);
  return Sum;
}

CountRing CountRing::withBucketLength(Duration BucketLength) const {
  CountRing Copy(Start_, BucketLength, Buckets_.size());
  const std::int64_t Size = static_cast<std::int64_t>(Buckets_.size());
  for (std::int64_t Index = std::max<std::int64_t>(0, Newest_ - Size + 1);
       Index <= Newest_; ++Index)
    Copy.bucketAt(Index * Length_ / BucketLength).add(*find(Index));
  return Copy;
}

const char *burnWindowName(BurnWindow Window) {
  static constexpr const char *Names[] = {"5m", "30m", "1h", "6h", "slo"};
  return Names[static_cast<std::size_t>(Window)];
}

Duration burnWindowLength(BurnWindow Window, const Objective &Slo) {
  switch (Window) {
  case BurnWindow::Min5:
    return std::chrono::minutes(5);
  case BurnWindow::Min30:
    return std::chrono::minutes(30);
  case BurnWindow::Hour1:
    return std::chrono::hours(1);
  case BurnWindow::Hour6:
    return std::chrono::hours(6);
  case BurnWindow::Slo:
    break;
  }
  return sloLength(Slo);
}

BurnRate::BurnRate(CustomerName Customer, ServiceName Service,
                   const Objective &Slo, TimePoint Now)
    : Customer_(std::move(Customer)), Service_(std::move(Service)), Slo_(Slo),
      Start_(Now), SloStart_(Now),
      Recent_(Now, RecentBucket, 1 + RecentBuckets),
      Minutes_(Now, MinuteBucket, 1 + MinuteBuckets),
      SloRing_(Now, sloBucket(Slo), 1 + SloBuckets) {}

void BurnRate::setObjective(const Objective &Slo, TimePoint Now) {
  if (Slo.WindowDays_ != Slo_.WindowDays_) {
    SloStart_ = std::max(SloStart_, Now - sloLength(Slo_));
    SloRing_ = SloRing_.withBucketLength(sloBucket(Slo));
  }
  Slo_ = Slo;
}

std::optional<RequestClass> BurnRate::record(const CompletedRequest &End,
                                             TimePoint Now) {
  const std::optional<RequestClass> Class = classifyRequest(End, Slo_);
  if (!Class)
    return Class;
  Recent_.add(*Class, Now);
  Minutes_.add(*Class, Now);
  SloRing_.add(*Class, Now);
  return Class;
}

BurnSnapshot BurnRate::snapshot(TimePoint Now) const {
  BurnSnapshot Snapshot{Customer_, Service_, Slo_, Now - Start_, {}, {}};
  const BurnCounts Sums[] = {
      Recent_.sumLast(RecentBuckets, Now), Minutes_.sumLast(30, Now),
      Minutes_.sumLast(60, Now), Minutes_.sumLast(MinuteBuckets, Now),
      SloRing_.sumLast(SloBuckets, Now)};
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const BurnWindow Window = static_cast<BurnWindow>(Index);
    const TimePoint Since = Window == BurnWindow::Slo ? SloStart_ : Start_;
    Snapshot.Windows_[Index] = WindowCounts{
        Sums[Index], std::min(Now - Since, burnWindowLength(Window, Slo_))};
  }
  const std::size_t BucketsPerPoint = BurnPointLength / MinuteBucket;
  const std::size_t FullPoints = std::min<std::size_t>(
      MaxBurnPoints,
      static_cast<std::size_t>((Now - Start_) / BurnPointLength));
  for (std::size_t Point = 0; Point < FullPoints; ++Point) {
    const BurnCounts Sum =
        Minutes_.sumRange(Point * BucketsPerPoint, BucketsPerPoint, Now);
    Snapshot.Series_.push_back(BurnPoint{Sum.Good_, Sum.bad()});
  }
  return Snapshot;
}

static void mergeInto(MergedBurn &Merged, const BurnSnapshot &Other) {
  BurnSnapshot &Total = Merged.Total_;
  ++Merged.Hosts_;
  Merged.LongestCounted_ = std::max(Merged.LongestCounted_, Other.CountedFor_);
  Merged.ObjectivesDiffer_ |= Total.Slo_ != Other.Slo_;
  if (Other.Slo_.AvailabilityPercent_ > Total.Slo_.AvailabilityPercent_)
    Total.Slo_ = Other.Slo_;
  Total.CountedFor_ = std::min(Total.CountedFor_, Other.CountedFor_);
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    WindowCounts &Sum = Total.Windows_[Index];
    Sum.Counts_.add(Other.Windows_[Index].Counts_);
    Sum.Covered_ = std::min(Sum.Covered_, Other.Windows_[Index].Covered_);
  }
  Total.Series_.resize(std::max(Total.Series_.size(), Other.Series_.size()));
  for (std::size_t Index = 0; Index < Other.Series_.size(); ++Index) {
    Total.Series_[Index].Good_ += Other.Series_[Index].Good_;
    Total.Series_[Index].Bad_ += Other.Series_[Index].Bad_;
  }
}

std::vector<MergedBurn> mergeBurn(const std::vector<BurnSnapshot> &Snapshots) {
  std::map<std::pair<CustomerName, ServiceName>, MergedBurn> ByService;
  for (const BurnSnapshot &Snapshot : Snapshots) {
    const auto [It, IsNew] = ByService.try_emplace(
        {Snapshot.Customer_, Snapshot.Service_},
        MergedBurn{Snapshot, 1, Snapshot.CountedFor_, false});
    if (!IsNew)
      mergeInto(It->second, Snapshot);
  }
  std::vector<MergedBurn> Merged;
  Merged.reserve(ByService.size());
  for (const std::pair<const std::pair<CustomerName, ServiceName>, MergedBurn>
           &Entry : ByService)
    Merged.push_back(Entry.second);
  return Merged;
}

std::optional<double> burnRate(std::uint64_t Good, std::uint64_t Bad,
                               const Objective &Slo) {
  if (Good + Bad == 0)
    return std::nullopt;
  const double BadShare =
      static_cast<double>(Bad) / static_cast<double>(Good + Bad);
  return BadShare / allowedBadShare(Slo);
}

static std::optional<double> rateInWindow(const BurnSnapshot &Value,
                                          BurnWindow Window) {
  const BurnCounts &Counts = Value.window(Window).Counts_;
  return burnRate(Counts.Good_, Counts.bad(), Value.Slo_);
}

std::optional<double> budgetLeft(const BurnSnapshot &Value) {
  const std::optional<double> Used = rateInWindow(Value, BurnWindow::Slo);
  if (!Used)
    return std::nullopt;
  return 1.0 - *Used;
}

const char *burnAlarmName(BurnAlarm Alarm) {
  static constexpr const char *Names[] = {"none", "slow", "fast"};
  return Names[static_cast<std::size_t>(Alarm)];
}

double alarmThreshold(BurnAlarm Alarm, const Objective &Slo) {
  const double WindowHours = 24.0 * Slo.WindowDays_;
  const double Rate = Alarm == BurnAlarm::Fast
                          ? FastBudgetShare * WindowHours
                          : SlowBudgetShare * WindowHours / SlowHours;
  return std::min(std::max(Rate, 1.0), 1.0 / allowedBadShare(Slo));
}

BurnAlarm burnAlarm(const BurnSnapshot &Value) {
  const auto IsAtLeast = [&](BurnWindow Window, double Threshold) {
    const std::optional<double> Rate = rateInWindow(Value, Window);
    return Rate && *Rate >= Threshold;
  };
  const double Fast = alarmThreshold(BurnAlarm::Fast, Value.Slo_);
  if (IsAtLeast(BurnWindow::Min5, Fast) && IsAtLeast(BurnWindow::Hour1, Fast))
    return BurnAlarm::Fast;
  const double Slow = alarmThreshold(BurnAlarm::Slow, Value.Slo_);
  if (IsAtLeast(BurnWindow::Min30, Slow) && IsAtLeast(BurnWindow::Hour6, Slow))
    return BurnAlarm::Slow;
  return BurnAlarm::None;
}

} // namespace kumquatpitch
