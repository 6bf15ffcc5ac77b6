// Model of a caller, two hosts and a network around the real RequestRegistry,
// for exhaustive search and random walks. Each state is a value; the registry
// of a host is rebuilt from the calls that the host made to it, so two states
// with equal calls are equal without a look into the registry.

#ifndef KUMQUATPITCH_AT_MOST_ONCE_MODEL_H
#define KUMQUATPITCH_AT_MOST_ONCE_MODEL_H

#include "kumquatpitch/request-registry.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// How hosts decide that they may run a request.
enum class Binding : std::uint8_t {
  Registry,          ///< The product: token and RequestRegistry.
  TokenUnchecked,    ///< Guard out: any incarnation runs any token.
  NotRunForgotten,   ///< Guard out: a copy runs after `not-run` was told.
  FullNotRemembered, ///< Guard out: refusals when full are not final.
  OwnerByHash,       ///< Baseline: the hash's owner by each host's own list.
  TimedLease, ///< Baseline: a lease with an ideal shared record of results.
};

/// What may happen, and how often. The search covers every order.
struct Bounds {
  const char *Name_ = "";
  int Customers_ = 1; ///< Each has one request; ids are equal.
  int Sends_ = 2;     ///< By each caller, to any host.
  int Copies_ = 2;    ///< Deliveries of each send: 0 to this many.
  int Kills_ = 0;
  int Pauses_ = 0;    ///< A host stands still, 2, 305 or 331 s each time.
  int Fillers_ = 0;   ///< Other ids at host A, whose registry holds 2.
  int Handovers_ = 0; ///< Baselines: ownership moves to the other host.
};

enum class Violation : std::uint8_t {
  None,
  DoubleRun,
  NotRunThenRan, ///< A copy ran after its caller was told `not-run`.
  NotRunButRan,  ///< `not-run` was told after the request ran.
  RanButDidNot,  ///< `ran` was told and the request had not run.
};

constexpr std::size_t ViolationKinds = 5;

enum class EventKind : std::uint8_t {
  Send,     ///< Caller of request A_ sends to host B_.
  Deliver,  ///< Message A_ arrives.
  Receive,  ///< The caller of request A_ learns of the last `not-run`.
  Shed,     ///< Attempt A_ is refused before it is written.
  Check,    ///< Attempt A_ passes the deadline check before the write.
  Write,    ///< Attempt A_ reaches the backend server and runs.
  Answer,   ///< Attempt A_ is answered.
  Break,    ///< Attempt A_ loses its connection.
  Kill,     ///< Host A_ is killed and restarted.
  Pause,    ///< Host A_ stands still for B_ seconds.
  Fill,     ///< Another id is begun at host A.
  Handover, ///< Ownership moves from host A to host B.
};

struct Event {
  EventKind Kind_ = EventKind::Send;
  int A_ = 0;
  int B_ = 0;

  bool operator==(const Event &) const = default;
};

class Model {
public:
  Model(Binding Rule, const Bounds &Limits) : Rule_(Rule), Limits_(Limits) {
    Requests_.resize(static_cast<std::size_t>(Limits.Customers_));
    for (Host &Each : Hosts_)
      Each.ClockMs_ = StartSeconds * MsPerSecond;
  }

  /// Events that may happen next; empty at the end of a run.
  std::vector<Event> events() const {
    std::vector<Event> Next;
    for (int Index = 0; Index < Limits_.Customers_; ++Index) {
      if (Requests_[Index].Sends_ < Limits_.Sends_)
        for (int To = 0; To < 2; ++To)
          Next.push_back({EventKind::Send, Index, To});
      if (Requests_[Index].Raisable_)
        Next.push_back({EventKind::Receive, Index, 0});
    }
    for (int Index = 0; Index < count(Messages_); ++Index)
      if (Messages_[Index].Delivered_ < Limits_.Copies_)
        Next.push_back({EventKind::Deliver, Index, 0});
    addAttemptEvents(Next);
    for (int Index = 0; Index < 2; ++Index) {
      if (Kills_ < Limits_.Kills_)
        Next.push_back({EventKind::Kill, Index, 0});
      if (Pauses_ < Limits_.Pauses_)
        for (const int Seconds : {DeadlinePause, FillerPause, TokenPause})
          Next.push_back({EventKind::Pause, Index, Seconds});
    }
    if (Fillers_ < Limits_.Fillers_)
      Next.push_back({EventKind::Fill, 0, 0});
    if (Handovers_ < Limits_.Handovers_)
      Next.push_back({EventKind::Handover, 0, 0});
    return Next;
  }

  /// Lets an event happen and gives what it violated.
  Violation apply(const Event &Next) {
    switch (Next.Kind_) {
    case EventKind::Send:
      ++Requests_[Next.A_].Sends_;
      Messages_.push_back({Next.A_, Requests_[Next.A_].Resend_, Next.B_, 0});
      return Violation::None;
    case EventKind::Deliver:
      return deliver(Next.A_);
    case EventKind::Receive:
      Requests_[Next.A_].Raisable_ = false;
      ++Requests_[Next.A_].Resend_;
      return Violation::None;
    case EventKind::Shed:
      return end(Next.A_, Outcome::NotRun);
    case EventKind::Check:
      return check(Next.A_);
    case EventKind::Write:
      return write(Next.A_);
    case EventKind::Answer:
      return end(Next.A_, Outcome::Ran);
    case EventKind::Break:
      return end(Next.A_, Outcome::Unknown);
    case EventKind::Kill:
      kill(Next.A_);
      return Violation::None;
    case EventKind::Pause:
      ++Pauses_;
      Hosts_[Next.A_].ClockMs_ += Next.B_ * MsPerSecond;
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

  /// True when a request ran.
  bool ran() const {
    return std::any_of(Requests_.begin(), Requests_.end(),
                       [](const Request &Each) { return Each.Runs_ > 0; });
  }

  /// All of the state, for comparison.
  std::string serialized() const {
    std::string Text;
    const auto Add = [&Text](auto... Numbers) {
      ((Text += std::to_string(Numbers), Text += ','), ...);
    };
    for (const Host &Each : Hosts_) {
      Add(Each.Incarnation_, Each.ClockMs_, Each.Calls_.size());
      for (const Call &Made : Each.Calls_)
        Add(Made.Begin_, Made.Request_, Made.Resend_, Made.Serial_,
            static_cast<int>(Made.Outcome_), Made.NowMs_);
    }
    Add(Messages_.size(), Attempts_.size());
    for (const Message &Each : Messages_)
      Add(Each.Request_, Each.Resend_, Each.Host_, Each.Delivered_);
    for (const Attempt &Each : Attempts_)
      Add(Each.Request_, Each.Resend_, Each.Serial_, Each.Host_,
          Each.DeadlineMs_, static_cast<int>(Each.Stage_));
    for (const Request &Each : Requests_)
      Add(Each.Sends_, Each.Resend_, Each.Raisable_, Each.Runs_,
          Each.ToldNotRun_, static_cast<int>(Each.Record_), Each.RecordHost_,
          Each.RecordResend_);
    Add(Kills_, Pauses_, Fillers_, Handovers_);
    return Text;
  }

private:
  // Seconds. The caller's token is of epoch 1 and those of the fillers of
  // epoch 0, so that a pause may end the fillers' memory and not the token's.
  static constexpr int StartSeconds = 30;
  static constexpr int DeadlinePause = 2;
  static constexpr int FillerPause = 305;
  static constexpr int TokenPause = 331;
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
    int Serial_ = 0; ///< As the registry saw it.
    int Host_ = 0;
    std::int64_t DeadlineMs_ = 0;
    Stage Stage_ = Stage::Queued;
  };

  struct Call {
    bool Begin_ = true;
    int Request_ = 0; ///< Customers and above are fillers.
    int Resend_ = 0;
    int Serial_ = 0;
    Outcome Outcome_ = Outcome::Unknown;
    std::int64_t NowMs_ = 0;
  };

  struct Host {
    int Incarnation_ = 1;
    std::int64_t ClockMs_ = 0;
    std::vector<Call> Calls_;
  };

  struct Request {
    int Sends_ = 0;
    int Resend_ = 0;
    bool Raisable_ = false; ///< `not-run` was told for Resend_.
    int Runs_ = 0;
    int ToldNotRun_ = -1; ///< Highest resend number that was told `not-run`.
    // Timed lease only: the shared record.
    Record Record_ = Record::Free;
    int RecordHost_ = 0;
    int RecordResend_ = 0;
  };

  template <class T> static int count(const std::vector<T> &Items) {
    return static_cast<int>(Items.size());
  }

  void addAttemptEvents(std::vector<Event> &Next) const {
    for (int Index = 0; Index < count(Attempts_); ++Index) {
      switch (Attempts_[Index].Stage_) {
      case Stage::Queued:
        Next.push_back({EventKind::Shed, Index, 0});
        Next.push_back({EventKind::Check, Index, 0});
        break;
      case Stage::Checked:
        Next.push_back({EventKind::Write, Index, 0});
        break;
      case Stage::Written:
        Next.push_back({EventKind::Answer, Index, 0});
        Next.push_back({EventKind::Break, Index, 0});
        break;
      }
    }
  }

  /// Where the rule under test has a host of its own choice run the request,
  /// the token is replaced by one of the receiving incarnation.
  bool replacesToken() const {
    return Rule_ == Binding::TokenUnchecked || Rule_ == Binding::OwnerByHash;
  }

  BeginResult replay(RequestRegistry &Registry, const Call &Made) const {
    const TimePoint Now{std::chrono::milliseconds(Made.NowMs_)};
    const ServiceName Service("ledger");
    const bool Filler = Made.Request_ >= Limits_.Customers_;
    RequestToken Token{Service, HostId("a"), 1, 1};
    if (Filler || replacesToken())
      Token = Registry.issueToken(Service, Now);
    if (Filler)
      Token.Epoch_ = 0;
    const std::string Id =
        Filler ? "filler" + std::to_string(Made.Request_) : "request";
    const RequestKey Key{
        CustomerName("customer" + std::to_string(Filler ? 0 : Made.Request_)),
        Service, Id, static_cast<std::uint32_t>(Made.Serial_)};
    if (Made.Begin_)
      return Registry.begin(Token, Key, Now);
    Registry.finish(Token, Key, Made.Outcome_, Now);
    return {};
  }

  /// Makes a call to the registry of a host's current incarnation.
  BeginResult call(int Index, const Call &Made) {
    Host &At = Hosts_[Index];
    const RegistryLimits Small{Limits_.Fillers_ > 0 ? 2U : 100U, 100'000, 100};
    RequestRegistry Registry(HostId(Index == 0 ? "a" : "b"),
                             static_cast<Incarnation>(At.Incarnation_),
                             TimePoint{}, Small);
    for (const Call &Earlier : At.Calls_)
      replay(Registry, Earlier);
    At.Calls_.push_back(Made);
    return replay(Registry, Made);
  }

  bool isOwner(int HostIndex) const {
    // By hash, both hosts own the request while their lists differ.
    if (Rule_ == Binding::OwnerByHash)
      return HostIndex == 0 || Handovers_ > 0;
    if (Rule_ == Binding::TimedLease)
      return HostIndex == Handovers_ % 2;
    return true;
  }

  BeginResult begin(const Message &Arrived, int Serial) {
    if (!isOwner(Arrived.Host_))
      return {false, ResultCode::TokenForeign, Outcome::Unknown};
    if (Rule_ == Binding::TimedLease)
      return beginLease(Arrived);
    BeginResult Answer =
        call(Arrived.Host_, {true, Arrived.Request_, Arrived.Resend_, Serial,
                             Outcome::Unknown, Hosts_[Arrived.Host_].ClockMs_});
    // The refusal leaves no trace, as if the id had not been seen.
    if (Rule_ == Binding::FullNotRemembered &&
        Answer.Code_ == ResultCode::RegistryFull)
      Hosts_[Arrived.Host_].Calls_.pop_back();
    return Answer;
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
    if (Rule_ != Binding::TimedLease) {
      call(Ended.Host_, {false, Ended.Request_, Ended.Resend_, Ended.Serial_,
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

  Violation tell(int Index, int Resend, Outcome Value) {
    Request &Told = Requests_[Index];
    if (Value == Outcome::Ran)
      return Told.Runs_ == 0 ? Violation::RanButDidNot : Violation::None;
    if (Value == Outcome::Unknown)
      return Violation::None;
    Told.ToldNotRun_ = std::max(Told.ToldNotRun_, Resend);
    Told.Raisable_ = Told.Raisable_ || Resend == Told.Resend_;
    return Told.Runs_ > 0 ? Violation::NotRunButRan : Violation::None;
  }

  Violation deliver(int Index) {
    Message &Arrived = Messages_[Index];
    ++Arrived.Delivered_;
    // A number that rises with each delivery makes the registry forget what
    // it told about earlier ones.
    const int Serial = Rule_ == Binding::NotRunForgotten
                           ? count(Hosts_[Arrived.Host_].Calls_)
                           : Arrived.Resend_;
    const BeginResult Answer = begin(Arrived, Serial);
    if (!Answer.Run_)
      return tell(Arrived.Request_, Arrived.Resend_, Answer.Outcome_);
    Attempts_.push_back(
        {Arrived.Request_, Arrived.Resend_, Serial, Arrived.Host_,
         Hosts_[Arrived.Host_].ClockMs_ + DeadlineMs, Stage::Queued});
    return Violation::None;
  }

  /// The deadline check, and the lease check, come before the first byte. The
  /// host may stand still between the check and the write.
  Violation check(int Index) {
    Attempt &Checked = Attempts_[Index];
    if (Hosts_[Checked.Host_].ClockMs_ > Checked.DeadlineMs_ ||
        (Rule_ == Binding::TimedLease && !isOwner(Checked.Host_)))
      return end(Index, Outcome::NotRun);
    Checked.Stage_ = Stage::Checked;
    return Violation::None;
  }

  Violation write(int Index) {
    Attempt &Written = Attempts_[Index];
    Written.Stage_ = Stage::Written;
    Request &Runs = Requests_[Written.Request_];
    if (++Runs.Runs_ > 1)
      return Violation::DoubleRun;
    return Written.Resend_ <= Runs.ToldNotRun_ ? Violation::NotRunThenRan
                                               : Violation::None;
  }

  Violation end(int Index, Outcome Value) {
    const Attempt Ended = Attempts_[Index];
    Attempts_.erase(Attempts_.begin() + Index);
    finish(Ended, Value);
    return tell(Ended.Request_, Ended.Resend_, Value);
  }

  void kill(int Index) {
    ++Kills_;
    Host &Killed = Hosts_[Index];
    Killed = Host{Killed.Incarnation_ + 1, StartSeconds * MsPerSecond, {}};
    std::erase_if(Attempts_,
                  [Index](const Attempt &Each) { return Each.Host_ == Index; });
  }

  void fill() {
    const int Id = Limits_.Customers_ + Fillers_++;
    call(0, {true, Id, 0, 0, Outcome::Unknown, Hosts_[0].ClockMs_});
  }

  Binding Rule_;
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
