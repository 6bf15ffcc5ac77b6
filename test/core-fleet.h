// A few HostCore objects in virtual time with a message network, a platform and
// backend servers that a test owns and can break. It is no simulator: latencies
// are fixed, and each part has only the faults of the fault matrix.

#ifndef KUMQUATPITCH_CORE_FLEET_H
#define KUMQUATPITCH_CORE_FLEET_H

#include "../bench/event-queue.h"
#include "fleet-ledger.h"
#include "fleet-platform.h"

#include "kumquatpitch/host-core.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch::test {

/// Points of the ways at which a fault is injected.
enum class Step {
  BeforeAdmission,
  Queued,
  BeforeFirstByte,
  InFlight,
  BeforeDelivery,
  Published,
  ConfigRead,
  HalfDistributed,
  Joining,
  Leaving,
  Suspected,
  Ejected,
  Reinstated,
  QuotaAsked,
  QuotaGranted,
  QuotaCredited
};
constexpr std::size_t StepCount = 16;

/// How a caller's send ended. Without a reply the connection broke or the
/// caller's own time limit passed.
struct SendEnd {
  bool HasReply_ = false;
  std::optional<RequestRefusal> Refusal_;
  FleetAnswer Answer_;
};

/// One send of a caller's request to one host.
struct FleetSend {
  RequestKeyOfCaller Key_;
  std::string Token_; ///< Empty for a request that may be repeated.
  std::size_t Host_ = 0;
  std::function<void(const SendEnd &)> OnEnd_;
  FlowId Flow_ = 0;
  bool DidRun_ = false;
  bool IsReplied_ = false; ///< The host gave its one outcome.
  bool IsEnded_ = false;   ///< The caller knows an end.
};
using SendPtr = std::shared_ptr<FleetSend>;

/// Faults of a host's links; they hold for messages between hosts, for work at
/// backend servers and for answers to callers.
struct LinkFaults {
  bool LosesOut_ = false;
  bool LosesIn_ = false;
  bool Slow_ = false;       ///< 400 ms more for each message.
  bool Duplicates_ = false; ///< A second copy 50 ms later.
  bool Scatters_ = false;   ///< Up to 2 s more for each message, reordered.
  bool Crosses_ = false;    ///< Messages and answers reach another recipient.
  bool Cuts_ = false;       ///< Messages and answers lose their end.
};

/// State of one backend server.
struct FleetBackend {
  bool IsStalled_ = false;
  bool IsSlow_ = false; ///< Its work takes 20 times as long, reported load 0.
  bool IsShedding_ = false;
  bool IsDraining_ = false;
  bool IsResetting_ = false; ///< Breaks connections on which work arrives.
  bool IsClosed_ = false;    ///< Accepts no connection.
  TimePoint ColdUntil_;
  std::vector<std::function<void()>> Stuck_;
  /// When the first sign of leaving was to be seen by hosts.
  std::optional<TimePoint> LeavingSign_;
};

class CoreFleet {
public:
  CoreFleet(std::uint64_t Seed, int RatePerSecond);

  bench::EventQueue &events() { return Events_; }
  TimePoint now() const { return Events_.now(); }
  FleetLedger &ledger() { return Ledger_; }
  FleetPlatform &platform() { return Platform_; }
  FleetBackend &backend(std::size_t Target) { return Backends_.at(Target); }
  LinkFaults &link(std::size_t Host) { return Hosts_.at(Host).Link_; }
  RandomSource &random() { return Random_; }

  /// Called with the host and target at which a step was reached; it must not
  /// change the fleet before it returns.
  std::function<void(Step, std::size_t, std::size_t)> OnStep_;

  void startHost(std::size_t Host);
  void killHost(std::size_t Host);
  void pauseHost(std::size_t Host);
  void wakeHost(std::size_t Host);
  void jumpClock(std::size_t Host, Duration Span);
  void beginStop(std::size_t Host);
  void listHost(std::size_t Host, const std::string &State);
  /// Publishes a configuration; `Leaving` is the target that it names so.
  void publish(std::optional<std::size_t> Leaving);
  void setPlatform(PlatformMode Mode);
  void silenceKept(std::size_t Host, std::size_t Target);
  void releaseStuck(std::size_t Target);

  bool isUp(std::size_t Host) const { return Hosts_[Host].Core_ != nullptr; }
  bool isStoppedByPlan(std::size_t Host) const {
    return Hosts_[Host].IsStopped_;
  }
  bool isReady(std::size_t Host) const;
  /// Counts as cut off until now; what others learnt meanwhile it may not know.
  void noteReachable(std::size_t Host) { Hosts_[Host].ReachableSince_ = now(); }
  std::optional<AddressAnswer> addresses(std::size_t Host);
  void send(const SendPtr &Sent);
  void run(Duration Span) { Events_.runUntil(now() + Span); }

  /// Versions in force are equal and the newest on all hosts that are up.
  void checkConverged();
  /// No request is left without an outcome.
  void checkIdle();
  static constexpr std::size_t MaxHosts = 4;

private:
  static constexpr std::size_t Targets = FleetDocuments::Targets;

  struct Attempt {
    AttemptOrder Order_;
    SendPtr Send_;
    std::size_t Host_ = 0;
    unsigned Life_ = 0;
    FlowId Flow_ = 0;
    std::size_t Target_ = 0;
    bool IsNew_ = false;
    bool IsSilent_ = false;
    bool IsWritten_ = false;
    bool IsEnded_ = false;
    TimePoint Written_; ///< By the host's clock.
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// An answer as it travels.
  struct WireAnswer {
    std::string WireId_;
    FleetAnswer Answer_;
    bool IsRefusal_ = false;
    bool IsDraining_ = false;
  };

  struct Flow {
    SendPtr Send_;
    FleetAnswer Answer_; ///< Of the attempt that ended last.
  };

  class Link : public PeerTransport {
  public:
    Link(CoreFleet &Fleet, std::size_t Host) : Fleet_(Fleet), Host_(Host) {}
    bool send(const Endpoint &Peer, const std::string &Message) override {
      Fleet_.sendPeer(Host_, Peer, Message);
      return true;
    }

  private:
    CoreFleet &Fleet_;
    std::size_t Host_;
  };

  class StepLogger : public Logger {
  public:
    StepLogger(CoreFleet &Fleet, std::size_t Host)
        : Fleet_(Fleet), Host_(Host) {}
    void log(LogLevel, const char *, const std::string &Text) override {
      const std::size_t At = Text.find("ledger t");
      if (At != 0)
        return;
      const std::size_t Target = Text[8] - '0';
      if (Text.find(" ejected,") != std::string::npos)
        Fleet_.reach(Step::Ejected, Host_, Target);
      if (Text.find(" reinstated,") != std::string::npos)
        Fleet_.reach(Step::Reinstated, Host_, Target);
    }

  private:
    CoreFleet &Fleet_;
    std::size_t Host_;
  };

  struct FleetHost {
    std::unique_ptr<SeededRandom> Random_;
    std::unique_ptr<Link> Transport_;
    std::unique_ptr<StepLogger> Log_;
    std::unique_ptr<HostCore> Core_;
    unsigned Life_ = 0;
    Duration ClockOffset_{};
    bool IsPaused_ = false;
    bool IsStopped_ = false;
    std::vector<std::function<void()>> Held_;
    LinkFaults Link_;
    TimePoint ReachableSince_;
    std::map<FlowId, Flow> Flows_;
    std::map<AttemptId, AttemptPtr> Attempts_;
    std::array<bool, Targets> Kept_{};
    std::array<bool, Targets> Silent_{};
    std::uint64_t Version_ = 0;
    std::vector<HostId> Group_;
    TimePoint GroupSince_;
    std::uint64_t UsableSlots_ = 0;
    std::uint64_t DueSlots_ = 0; ///< That ejections have to leave.
    bool IsSettled_ = false;
  };

  TimePoint local(std::size_t I) const {
    return now() + Hosts_[I].ClockOffset_;
  }
  static std::string addressOf(std::size_t I) {
    return "10.0.0." + std::to_string(I + 1);
  }
  void reach(Step At, std::size_t HostIndex, std::size_t Target) {
    if (OnStep_)
      OnStep_(At, HostIndex, Target);
  }

  void post(std::size_t I, Duration Delay, std::function<void()> Run);
  void enter(std::size_t I, unsigned Life, const std::function<void()> &Run);
  void tick(std::size_t I);
  void carryOut(std::size_t I, const CoreActions &Actions);
  void take(std::size_t I, const FlowStep &Next);
  void respond(std::size_t I, const SendPtr &Sent, const SendEnd &End);
  void endSend(const SendPtr &Sent, const SendEnd &End);
  void admit(std::size_t I, const SendPtr &Sent);

  void startAttempt(std::size_t I, FlowId Id, const AttemptOrder &Order);
  void write(const AttemptPtr &Of);
  void arriveAtBackend(const AttemptPtr &Of);
  void answer(const AttemptPtr &Of, bool IsRefusal);
  void sendAnswer(const AttemptPtr &Of, WireAnswer Sent);
  void receiveAnswer(const AttemptPtr &Of, const WireAnswer &Got);
  void endAttempt(const AttemptPtr &Of, AttemptReport Report,
                  const FleetAnswer &Got);
  AttemptPtr otherAttempt(const AttemptPtr &Than);

  void sendPeer(std::size_t From, const Endpoint &To, std::string Message);
  Duration peerDelay(const LinkFaults &Faults);
  void callPlatform(std::size_t I, const PlatformCall &Call, TimePoint GiveUp);

  void check(std::size_t I);
  void checkVersion(std::size_t I, const HostStatus &Status);
  void checkFloor(std::size_t I, const HostStatus &Status);
  void checkLeaving(std::size_t I, std::size_t Target);
  void checkStop(std::size_t I);

  bench::EventQueue Events_;
  SeededRandom Random_;
  FleetLedger Ledger_;
  FleetPlatform Platform_;
  std::array<FleetBackend, Targets> Backends_;
  std::array<FleetHost, MaxHosts> Hosts_;
  std::vector<std::string> States_ = {"live", "live", "live", ""};
  std::uint64_t ListVersion_ = 0;
  std::uint64_t ConfigVersion_ = 0;
  std::uint64_t NextIncarnation_ = 1000;
  int Rate_;
  std::optional<std::size_t> PublishedLeaving_;
  bool IsLeavingRead_ = false; ///< Some host was given PublishedLeaving_.
};

} // namespace kumquatpitch::test

#endif
