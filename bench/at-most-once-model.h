// Model of callers, two hosts and a network around the real RequestRegistry,
// for exhaustive search and random schedules. A state is a plain value: it
// holds the calls that each host made to its registry, and the registry is
// rebuilt by replaying them. States with equal calls are therefore equal, and
// comparing them does not need the registry's contents.

#ifndef KUMQUATPITCH_AT_MOST_ONCE_MODEL_H
#define KUMQUATPITCH_AT_MOST_ONCE_MODEL_H

#include "kumquatpitch/request-registry.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// How a host decides whether it may run a request.
enum class AdmissionRule : std::uint8_t {
  Registry,          ///< The product's rule: token and RequestRegistry.
  TokenUnchecked,    ///< Weakened: any incarnation accepts any token.
  NotRunForgotten,   ///< Weakened: a copy may run after `not-run` was sent.
  FullNotRemembered, ///< Weakened: refusals by a full registry are not final.
  OwnerByHash,       ///< Baseline: owner by hash over each host's own list.
  TimedLease, ///< Baseline: lease with an ideal shared record of results.
};

/// How often each event may happen. The search covers every order.
struct Bounds {
  const char *Name_ = "";
  int Customers_ = 1; ///< Each has one request, all with the same id.
  int Sends_ = 2;     ///< Maximum for each caller, to any host.
  int Copies_ = 2;    ///< Maximum deliveries of each send; 0 means lost.
  int Kills_ = 0;
  int Pauses_ = 0;    ///< A host stops for 2, 305 or 331 s each time.
  int Fillers_ = 0;   ///< Other ids at the first host, whose registry holds 2.
  int Handovers_ = 0; ///< Baselines: ownership moves to the other host.
};

enum class Violation : std::uint8_t {
  None,
  DoubleRun,
  NotRunThenRan, ///< A copy ran after `not-run` was reported to its caller.
  NotRunButRan,  ///< `not-run` was reported after the request ran.
  RanButDidNot,  ///< `ran` was reported, but the request had not run.
};

constexpr std::size_t ViolationKinds = 5;

enum class EventKind : std::uint8_t {
  Send,     ///< The caller of request Index_ sends to host Argument_.
  Deliver,  ///< Message Index_ arrives.
  Receive,  ///< The caller of request Index_ receives the last `not-run`.
  Shed,     ///< Attempt Index_ is refused before it is written.
  Check,    ///< Attempt Index_ reaches the deadline check before the write.
  Write,    ///< Attempt Index_ reaches the backend server and runs.
  Answer,   ///< Attempt Index_ is answered.
  Break,    ///< Attempt Index_ loses its connection.
  Kill,     ///< Host Index_ is killed and restarted.
  Pause,    ///< Host Index_ stops for Argument_ seconds.
  Fill,     ///< The first host begins a request with another id.
  Handover, ///< Ownership moves to the other host.
};

struct Event {
  EventKind Kind_ = EventKind::Send;
  int Index_ = 0;
  int Argument_ = 0;

  bool operator==(const Event &) const = default;
};

class Model {
public:
  Model(AdmissionRule Rule, const Bounds &Limits)
      : Rule_(Rule), Limits_(Limits) {
    Requests_.resize(static_cast<std::size_t>(Limits.Customers_));
    for (Host &Entry : Hosts_)
      Entry.ClockMs_ = StartSeconds * MsPerSecond;
  }

  /// Events that may happen next; empty at the end of a schedule.
  std::vector<Event> events() const {
    std::vector<Event> NextEvents;
    for (int Index = 0; Index < Limits_.Customers_; ++Index) {
      if (Requests_[Index].Sends_ < Limits_.Sends_)
        for (int HostIndex = 0; HostIndex < 2; ++HostIndex)
          NextEvents.push_back({EventKind::Send, Index, HostIndex});
      if (Requests_[Index].MayIncrementResend_)
        NextEvents.push_back({EventKind::Receive, Index, 0});
    }
    for (int Index = 0; Index < count(Messages_); ++Index)
      if (Messages_[Index].Delivered_ < Limits_.Copies_)
        NextEvents.push_back({EventKind::Deliver, Index, 0});
    addAttemptEvents(NextEvents);
    for (int Index = 0; Index < 2; ++Index) {
      if (Kills_ < Limits_.Kills_)
        NextEvents.push_back({EventKind::Kill, Index, 0});
      if (Pauses_ < Limits_.Pauses_)
        for (const int Seconds :
             {PauseBeyondDeadline, FillerExpiryPause, TokenExpiryPause})
          NextEvents.push_back({EventKind::Pause, Index, Seconds});
    }
    if (Fillers_ < Limits_.Fillers_)
      NextEvents.push_back({EventKind::Fill, 0, 0});
    if (Handovers_ < Limits_.Handovers_)
      NextEvents.push_back({EventKind::Handover, 0, 0});
    return NextEvents;
  }

  /// Applies an event and returns the violation that it caused.
  Violation apply(const Event &Applied) {
    switch (Applied.Kind_) {
    case EventKind::Send:
      ++Requests_[Applied.Index_].Sends_;
      Messages_.push_back({Applied.Index_, Requests_[Applied.Index_].Resend_,
                           Applied.Argument_, 0});
      return Violation::None;
    case EventKind::Deliver:
      return deliver(Applied.Index_);
    case EventKind::Receive:
      Requests_[Applied.Index_].MayIncrementResend_ = false;
      ++Requests_[Applied.Index_].Resend_;
      return Violation::None;
    case EventKind::Shed:
      return endAttempt(Applied.Index_, Outcome::NotRun);
    case EventKind::Check:
      return check(Applied.Index_);
    case EventKind::Write:
      return write(Applied.Index_);
    case EventKind::Answer:
      return endAttempt(Applied.Index_, Outcome::Ran);
    case EventKind::Break:
      return endAttempt(Applied.Index_, Outcome::Unknown);
    case EventKind::Kill:
      kill(Applied.Index_);
      return Violation::None;
    case EventKind::Pause:
      ++Pauses_;
      Hosts_[Applied.Index_].ClockMs_ += Applied.Argument_ * MsPerSecond;
      return Violation::None;
    case EventKind::Fill:
      fill();
      return Violation::None;
    case EventKind::Handover:
      ++Handovers_;
      return Violation::None;
    }
    return Violation::None;
  }

  /// True when at least one request ran.
  bool ran() const {
    return std::any_of(Requests_.begin(), Requests_.end(),
                       [](const Request &Entry) { return Entry.Runs_ > 0; });
  }

  /// The complete state as text, for comparison.
  std::string serialized() const {
    std::string Text;
    const auto Add = [&Text](auto... Numbers) {
      ((Text += std::to_string(Numbers), Text += ','), ...);
    };
    for (const Host &Entry : Hosts_) {
      Add(Entry.Incarnation_, Entry.ClockMs_, Entry.Calls_.size());
      for (const RegistryCall &Call : Entry.Calls_)
        Add(Call.Begin_, Call.Request_, Call.Resend_, Call.RegistryResend_,
            static_cast<int>(Call.Outcome_), Call.NowMs_);
    }
    Add(Messages_.size(), Attempts_.size());
    for (const Message &Entry : Messages_)
      Add(Entry.Request_, Entry.Resend_, Entry.Host_, Entry.Delivered_);
    for (const Attempt &Entry : Attempts_)
      Add(Entry.Request_, Entry.Resend_, Entry.RegistryResend_, Entry.Host_,
          Entry.DeadlineMs_, static_cast<int>(Entry.Stage_));
    for (const Request &Entry : Requests_)
      Add(Entry.Sends_, Entry.Resend_, Entry.MayIncrementResend_, Entry.Runs_,
          Entry.ReportedNotRun_, static_cast<int>(Entry.Record_),
          Entry.RecordHost_, Entry.RecordResend_);
    Add(Kills_, Pauses_, Fillers_, Handovers_);
    return Text;
  }

private:
  // Times in seconds. The caller's token belongs to epoch 1 and the fillers'
  // tokens to epoch 0, so that a pause can expire the fillers' entries in the
  // registry without expiring the caller's token.
  static constexpr int StartSeconds = 30;
  static constexpr int PauseBeyondDeadline = 2;
  static constexpr int FillerExpiryPause = 305;
  static constexpr int TokenExpiryPause = 331;
  static constexpr std::int64_t MsPerSecond = 1'000;
  static constexpr std::int64_t DeadlineMs = 1'000;

  enum class Stage : std::uint8_t { Queued, Checked, Written };
  enum class Record : std::uint8_t { Free, Held, Ran, NotRun, Unknown };

  struct Message {
    int Request_ = 0;
    int Resend_ = 0;
    int Host_ = 0;
    int Delivered_ = 0;
  };

  struct Attempt {
    int Request_ = 0;
    int Resend_ = 0;
    int RegistryResend_ = 0; ///< Resend number passed to the registry.
    int Host_ = 0;
    std::int64_t DeadlineMs_ = 0;
    Stage Stage_ = Stage::Queued;
  };

  struct RegistryCall {
    bool Begin_ = true;
    int Request_ = 0; ///< Values from Customers_ on are fillers.
    int Resend_ = 0;
    int RegistryResend_ = 0;
    Outcome Outcome_ = Outcome::Unknown;
    std::int64_t NowMs_ = 0;
  };

  struct Host {
    int Incarnation_ = 1;
    std::int64_t ClockMs_ = 0;
    std::vector<RegistryCall> Calls_;
  };

  struct Request {
    int Sends_ = 0;
    int Resend_ = 0;
    bool MayIncrementResend_ = false; ///< `not-run` was reported for Resend_.
    int Runs_ = 0;
    int ReportedNotRun_ = -1; ///< Highest resend number reported as `not-run`.
    // The shared record, used by the timed lease only.
    Record Record_ = Record::Free;
    int RecordHost_ = 0;
    int RecordResend_ = 0;
  };

  template <class T> static int count(const std::vector<T> &Items) {
    return static_cast<int>(Items.size());
  }

  void addAttemptEvents(std::vector<Event> &NextEvents) const {
    for (int Index = 0; Index < count(Attempts_); ++Index) {
      switch (Attempts_[Index].Stage_) {
      case Stage::Queued:
        NextEvents.push_back({EventKind::Shed, Index, 0});
        NextEvents.push_back({EventKind::Check, Index, 0});
        break;
      case Stage::Checked:
        NextEvents.push_back({EventKind::Write, Index, 0});
        break;
      case Stage::Written:
        NextEvents.push_back({EventKind::Answer, Index, 0});
        NextEvents.push_back({EventKind::Break, Index, 0});
        break;
      }
    }
  }

  /// True when the rule lets a host other than the token's issuer run the
  /// request. The token is then replaced by one of the receiving incarnation.
  bool replacesToken() const {
    return Rule_ == AdmissionRule::TokenUnchecked ||
           Rule_ == AdmissionRule::OwnerByHash;
  }

  BeginResult replay(RequestRegistry &Registry,
                     const RegistryCall &Call) const {
    const TimePoint Now{std::chrono::milliseconds(Call.NowMs_)};
    const ServiceName Service("ledger");
    const bool IsFiller = Call.Request_ >= Limits_.Customers_;
    RequestToken Token{Service, HostId("a"), 1, 1};
    if (IsFiller || replacesToken())
      Token = Registry.issueToken(Service, Now);
    if (IsFiller)
      Token.Epoch_ = 0;
    const std::string Id =
        IsFiller ? "filler" + std::to_string(Call.Request_) : "request";
    const RequestKey Key{
        CustomerName("customer" + std::to_string(IsFiller ? 0 : Call.Request_)),
        Service, Id, static_cast<std::uint32_t>(Call.RegistryResend_)};
    if (Call.Begin_)
      return Registry.begin(Token, Key, Now);
    Registry.finish(Token, Key, Call.Outcome_, Now);
    return {};
  }

  /// Calls the registry of a host's current incarnation, which is rebuilt from
  /// the earlier calls, and records the call.
  BeginResult callRegistry(int Index, const RegistryCall &Call) {
    Host &Target = Hosts_[Index];
    const RegistryLimits Small{Limits_.Fillers_ > 0 ? 2U : 100U, 100'000, 100};
    RequestRegistry Registry(HostId(Index == 0 ? "a" : "b"),
                             static_cast<Incarnation>(Target.Incarnation_),
                             TimePoint{}, Small);
    for (const RegistryCall &Earlier : Target.Calls_)
      replay(Registry, Earlier);
    Target.Calls_.push_back(Call);
    return replay(Registry, Call);
  }

  bool isOwner(int HostIndex) const {
    // With ownership by hash, both hosts own the request while their host
    // lists differ.
    if (Rule_ == AdmissionRule::OwnerByHash)
      return HostIndex == 0 || Handovers_ > 0;
    if (Rule_ == AdmissionRule::TimedLease)
      return HostIndex == Handovers_ % 2;
    return true;
  }

  BeginResult begin(const Message &Arrived, int RegistryResend) {
    if (!isOwner(Arrived.Host_))
      return {false, ResultCode::TokenForeign, Outcome::Unknown};
    if (Rule_ == AdmissionRule::TimedLease)
      return beginLease(Arrived);
    BeginResult Result = callRegistry(
        Arrived.Host_, {true, Arrived.Request_, Arrived.Resend_, RegistryResend,
                        Outcome::Unknown, Hosts_[Arrived.Host_].ClockMs_});
    // Forget the refusal, as if the registry had not received the id.
    if (Rule_ == AdmissionRule::FullNotRemembered &&
        Result.Code_ == ResultCode::RegistryFull)
      Hosts_[Arrived.Host_].Calls_.pop_back();
    return Result;
  }

  BeginResult beginLease(const Message &Arrived) {
    Request &Shared = Requests_[Arrived.Request_];
    const bool HeldHere =
        Shared.Record_ == Record::Held && Shared.RecordHost_ == Arrived.Host_;
    if (HeldHere || Shared.Record_ == Record::Unknown)
      return {false, ResultCode::RequestDuplicate, Outcome::Unknown};
    if (Shared.Record_ == Record::Ran)
      return {false, ResultCode::RequestAlreadyRan, Outcome::Ran};
    if (Shared.Record_ == Record::NotRun &&
        Arrived.Resend_ <= Shared.RecordResend_)
      return {false, ResultCode::RequestDuplicate, Outcome::NotRun};
    Shared.Record_ = Record::Held;
    Shared.RecordHost_ = Arrived.Host_;
    Shared.RecordResend_ = Arrived.Resend_;
    return {true};
  }

  void finish(const Attempt &Ended, Outcome Value) {
    if (Rule_ != AdmissionRule::TimedLease) {
      callRegistry(Ended.Host_,
                   {false, Ended.Request_, Ended.Resend_, Ended.RegistryResend_,
                    Value, Hosts_[Ended.Host_].ClockMs_});
      return;
    }
    Request &Shared = Requests_[Ended.Request_];
    if (Shared.Record_ != Record::Held || Shared.RecordHost_ != Ended.Host_)
      return;
    Shared.Record_ = Value == Outcome::Ran      ? Record::Ran
                     : Value == Outcome::NotRun ? Record::NotRun
                                                : Record::Unknown;
  }

  Violation reportOutcome(int Index, int Resend, Outcome Value) {
    Request &Reported = Requests_[Index];
    if (Value == Outcome::Ran)
      return Reported.Runs_ == 0 ? Violation::RanButDidNot : Violation::None;
    if (Value == Outcome::Unknown)
      return Violation::None;
    Reported.ReportedNotRun_ = std::max(Reported.ReportedNotRun_, Resend);
    Reported.MayIncrementResend_ =
        Reported.MayIncrementResend_ || Resend == Reported.Resend_;
    return Reported.Runs_ > 0 ? Violation::NotRunButRan : Violation::None;
  }

  Violation deliver(int Index) {
    Message &Arrived = Messages_[Index];
    ++Arrived.Delivered_;
    // A resend number that increases with each delivery makes the registry
    // treat it as new and disregard the outcomes that it reported before.
    const int RegistryResend = Rule_ == AdmissionRule::NotRunForgotten
                                   ? count(Hosts_[Arrived.Host_].Calls_)
                                   : Arrived.Resend_;
    const BeginResult Result = begin(Arrived, RegistryResend);
    if (!Result.Run_)
      return reportOutcome(Arrived.Request_, Arrived.Resend_, Result.Outcome_);
    Attempts_.push_back(
        {Arrived.Request_, Arrived.Resend_, RegistryResend, Arrived.Host_,
         Hosts_[Arrived.Host_].ClockMs_ + DeadlineMs, Stage::Queued});
    return Violation::None;
  }

  /// Checks the deadline, and the lease if there is one, before the first byte
  /// is written. The host may pause between this check and the write.
  Violation check(int Index) {
    Attempt &Checked = Attempts_[Index];
    if (Hosts_[Checked.Host_].ClockMs_ > Checked.DeadlineMs_ ||
        (Rule_ == AdmissionRule::TimedLease && !isOwner(Checked.Host_)))
      return endAttempt(Index, Outcome::NotRun);
    Checked.Stage_ = Stage::Checked;
    return Violation::None;
  }

  Violation write(int Index) {
    Attempt &Written = Attempts_[Index];
    Written.Stage_ = Stage::Written;
    Request &Executed = Requests_[Written.Request_];
    if (++Executed.Runs_ > 1)
      return Violation::DoubleRun;
    return Written.Resend_ <= Executed.ReportedNotRun_
               ? Violation::NotRunThenRan
               : Violation::None;
  }

  Violation endAttempt(int Index, Outcome Value) {
    const Attempt Ended = Attempts_[Index];
    Attempts_.erase(Attempts_.begin() + Index);
    finish(Ended, Value);
    return reportOutcome(Ended.Request_, Ended.Resend_, Value);
  }

  void kill(int Index) {
    ++Kills_;
    Host &Killed = Hosts_[Index];
    Killed = Host{Killed.Incarnation_ + 1, StartSeconds * MsPerSecond, {}};
    std::erase_if(Attempts_, [Index](const Attempt &Entry) {
      return Entry.Host_ == Index;
    });
  }

  void fill() {
    const int Id = Limits_.Customers_ + Fillers_++;
    callRegistry(0, {true, Id, 0, 0, Outcome::Unknown, Hosts_[0].ClockMs_});
  }

  AdmissionRule Rule_;
  Bounds Limits_;
  std::array<Host, 2> Hosts_;
  std::vector<Message> Messages_;
  std::vector<Attempt> Attempts_;
  std::vector<Request> Requests_;
  int Kills_ = 0;
  int Pauses_ = 0;
  int Fillers_ = 0;
  int Handovers_ = 0;
};

} // namespace kumquatpitch::bench

#endif
