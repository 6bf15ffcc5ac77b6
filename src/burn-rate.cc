// Counting and judging by an objective. See burn-rate.h.

#include "kumquatpitch/burn-rate.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace kumquatpitch {

namespace {

constexpr std::chrono::seconds RecentBucket{15};
constexpr std::size_t RecentBuckets = 20;
constexpr std::chrono::minutes MinuteBucket{1};
constexpr std::size_t MinutesOf6Hours = 360;
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

/// Cause of a failure that the system reports; none when it does not count.
std::optional<BurnCause> causeOf(ResultCode Code) {
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

std::optional<BurnVerdict> judge(const RequestEnd &End, const Objective &Slo) {
  if (End.Code_ == ResultCode::Ok) {
    if (End.HttpStatus_ >= FirstServerError)
      return BurnVerdict{BurnCause::Failed, End.Outcome_};
    if (End.Latency_ > Slo.Latency_)
      return BurnVerdict{BurnCause::Slow, End.Outcome_};
    return BurnVerdict{std::nullopt, End.Outcome_};
  }
  const std::optional<BurnCause> Cause = causeOf(End.Code_);
  if (!Cause)
    return std::nullopt;
  return BurnVerdict{Cause, End.Outcome_};
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

void BurnCounts::add(const BurnVerdict &Verdict) {
  if (!Verdict.Cause_) {
    ++Good_;
    return;
  }
  ++BadByCause_[static_cast<std::size_t>(*Verdict.Cause_)];
  ++BadByOutcome_[static_cast<std::size_t>(Verdict.Outcome_)];
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

void CountRing::add(const BurnVerdict &Verdict, TimePoint Now) {
  bucketAt(indexAt(Now)).add(Verdict);
}

BurnCounts CountRing::last(std::size_t Full, TimePoint Now) const {
  return range(0, Full + 1, Now);
}

BurnCounts CountRing::range(std::size_t Skip, std::size_t Count,
                            TimePoint Now) const {
  BurnCounts Sum;
  const std::int64_t Current = indexAt(Now) - static_cast<std::int64_t>(Skip);
  for (std::size_t Back = 0; Back < Count; ++Back)
    if (const BurnCounts *Bucket =
            find(Current - static_cast<std::int64_t>(Back)))
      Sum.add(*Bucket);
  return Sum;
}

CountRing CountRing::withLength(Duration BucketLength) const {
  CountRing Changed(Start_, BucketLength, Buckets_.size());
  const std::int64_t Size = static_cast<std::int64_t>(Buckets_.size());
  for (std::int64_t Index = std::max<std::int64_t>(0, Newest_ - Size + 1);
       Index <= Newest_; ++Index)
    Changed.bucketAt(Index * Length_ / BucketLength).add(*find(Index));
  return Changed;
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
      Minutes_(Now, MinuteBucket, 1 + MinutesOf6Hours),
      SloRing_(Now, sloBucket(Slo), 1 + SloBuckets) {}

void BurnRate::setObjective(const Objective &Slo, TimePoint Now) {
  if (Slo.WindowDays_ != Slo_.WindowDays_) {
    SloStart_ = std::max(SloStart_, Now - sloLength(Slo_));
    SloRing_ = SloRing_.withLength(sloBucket(Slo));
  }
  Slo_ = Slo;
}

std::optional<BurnVerdict> BurnRate::record(const RequestEnd &End,
                                            TimePoint Now) {
  const std::optional<BurnVerdict> Verdict = judge(End, Slo_);
  if (!Verdict)
    return Verdict;
  Recent_.add(*Verdict, Now);
  Minutes_.add(*Verdict, Now);
  SloRing_.add(*Verdict, Now);
  return Verdict;
}

BurnSnapshot BurnRate::snapshot(TimePoint Now) const {
  BurnSnapshot Taken{Customer_, Service_, Slo_, Now - Start_, {}, {}};
  const BurnCounts Sums[] = {Recent_.last(RecentBuckets, Now),
                             Minutes_.last(30, Now), Minutes_.last(60, Now),
                             Minutes_.last(MinutesOf6Hours, Now),
                             SloRing_.last(SloBuckets, Now)};
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const BurnWindow Window = static_cast<BurnWindow>(Index);
    const TimePoint Since = Window == BurnWindow::Slo ? SloStart_ : Start_;
    Taken.Windows_[Index] = WindowCounts{
        Sums[Index], std::min(Now - Since, burnWindowLength(Window, Slo_))};
  }
  const std::size_t PerPoint = BurnPointLength / MinuteBucket;
  const std::size_t Whole = std::min<std::size_t>(
      MaxBurnPoints,
      static_cast<std::size_t>((Now - Start_) / BurnPointLength));
  for (std::size_t Point = 0; Point < Whole; ++Point) {
    const BurnCounts Sum = Minutes_.range(Point * PerPoint, PerPoint, Now);
    Taken.Series_.push_back(BurnPoint{Sum.Good_, Sum.bad()});
  }
  return Taken;
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
  for (const BurnSnapshot &Each : Snapshots) {
    const auto [It, IsNew] =
        ByService.try_emplace({Each.Customer_, Each.Service_},
                              MergedBurn{Each, 1, Each.CountedFor_, false});
    if (!IsNew)
      mergeInto(It->second, Each);
  }
  std::vector<MergedBurn> Merged;
  Merged.reserve(ByService.size());
  for (const std::pair<const std::pair<CustomerName, ServiceName>, MergedBurn>
           &Each : ByService)
    Merged.push_back(Each.second);
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

static std::optional<double> rateOf(const BurnSnapshot &Value,
                                    BurnWindow Window) {
  const BurnCounts &Counts = Value.window(Window).Counts_;
  return burnRate(Counts.Good_, Counts.bad(), Value.Slo_);
}

std::optional<double> budgetLeft(const BurnSnapshot &Value) {
  const std::optional<double> Used = rateOf(Value, BurnWindow::Slo);
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
    const std::optional<double> Rate = rateOf(Value, Window);
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
