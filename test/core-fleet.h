// Fleet for the fault matrix: up to four HostCore objects in virtual time, with
// a message network, a platform and backend servers into which a test injects
// faults. Latencies are fixed, and only the faults of the fault matrix are
// modelled; it is not a general simulator.

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

/// Steps of a request, a configuration change, a join, a leave, an ejection and
/// a quota transfer at which a fault can be injected.
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

/// Result of one send as the caller sees it. Without a reply, the connection
/// broke or the caller's own timeout expired.
struct SendResult {
  bool HasReply_ = false;
  std::optional<RequestRefusal> Refusal_;
  FleetAnswer Answer_;
};

/// One send of a caller's request to one host.
struct FleetSend {
  CallerRequestKey Key_;
  std::string Token_; ///< Empty for an idempotent request.
  std::size_t Host_ = 0;
  std::function<void(const SendResult &)> OnEnd_;
  FlowId Flow_ = 0;
  bool DidRun_ = false;
  bool IsReplied_ = false; ///< The host reported its only outcome.
  bool IsEnded_ = false;   ///< The caller has a result.
};
using SendPtr = std::shared_ptr<FleetSend>;

/// Network faults of one host. They apply to messages between hosts, to
/// requests sent to backend servers and to answers to callers.
struct LinkFaults {
  bool DropsOutbound_ = false;
  bool DropsInbound_ = false;
  bool AddsDelay_ = false;  ///< Delays each message by 400 ms.
  bool Duplicates_ = false; ///< Sends a second copy 50 ms later.
  bool Reorders_ = false;   ///< Delays each message at random by up to 2 s.
  bool Misroutes_ = false;  ///< Messages and answers go to the wrong recipient.
  bool Truncates_ = false;  ///< Truncates messages and answers.
};

/// State of one backend server.
struct FleetBackend {
  bool IsStalled_ = false;
  bool IsSlow_ = false; ///< Takes 20 times as long but reports load 0.
  bool IsShedding_ = false;
  bool IsDraining_ = false;
  bool IsResetting_ = false; ///< Resets connections on which requests arrive.
  bool IsClosed_ = false;    ///< Refuses new connections.
  TimePoint ColdUntil_;
  /// Answers held back while the server is stalled.
  std::vector<std::function<void()>> StalledAnswers_;
  /// Time at which a host could first learn that the server drains or leaves.
  std::optional<TimePoint> LeavingSign_;
};

/// Runs the host cores, delivers their messages with the faults injected, and
/// checks the invariants after each event of a host.
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

  /// Called with the host and target that reach a step. The callback must not
  /// change the fleet synchronously; it schedules the change as an event.
  std::function<void(Step, std::size_t, std::size_t)> OnStep_;

  void startHost(std::size_t Host);
  void killHost(std::size_t Host);
  void pauseHost(std::size_t Host);
  void resumeHost(std::size_t Host);
  void jumpClock(std::size_t Host, Duration Span);
  void beginStop(std::size_t Host);
  void listHost(std::size_t Host, const std::string &State);
  /// Publishes a new configuration, in which the target `Leaving` is marked as
  /// leaving.
  void publish(std::optional<std::size_t> Leaving);
  void setPlatform(PlatformMode Mode);
  /// Makes requests on the host's open connection to the target get lost.
  void silenceConnection(std::size_t Host, std::size_t Target);
  void releaseStalledAnswers(std::size_t Target);

  bool isUp(std::size_t Host) const { return Hosts_[Host].Core_ != nullptr; }
  /// True if the host has ended by itself after beginStop().
  bool isStoppedByPlan(std::size_t Host) const {
    return Hosts_[Host].IsStopped_;
  }
  bool isReady(std::size_t Host) const;
  /// Records that the host was unreachable until now, so that it may not know
  /// what the other hosts have learnt in the meantime.
  void markReachable(std::size_t Host) { Hosts_[Host].ReachableSince_ = now(); }
  std::optional<AddressAnswer> addresses(std::size_t Host);
  void send(const SendPtr &Sent);
  void run(Duration Span) { Events_.runUntil(now() + Span); }

  /// Checks that all running hosts use the newest configuration version.
  void checkConverged();
  /// Checks that every request has an outcome.
  void checkIdle();
  static constexpr std::size_t MaxHosts = 4;

private:
  static constexpr std::size_t Targets = FleetDocuments::Targets;

  struct Attempt {
    AttemptOrder Order_;
    SendPtr Send_;
    std::size_t Host_ = 0;
    unsigned Generation_ = 0;
    FlowId Flow_ = 0;
    std::size_t Target_ = 0;
    bool IsNew_ = false;
    bool IsSilent_ = false;
    bool IsWritten_ = false;
    bool IsEnded_ = false;
    TimePoint Written_; ///< On the host's clock.
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// An answer in transit from a backend server to a host.
  struct WireAnswer {
    std::string WireId_;
    FleetAnswer Answer_;
    bool IsRefusal_ = false;
    bool IsDraining_ = false;
  };

  struct Flow {
    SendPtr Send_;
    FleetAnswer Answer_; ///< Answer of the attempt that ended last.
  };

  /// Sends a host's peer messages over the fleet's network.
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

  /// Reports ejections and reinstatements by reading the host's log.
  class StepLogger : public Logger {
  public:
    StepLogger(CoreFleet &Fleet, std::size_t Host)
        : Fleet_(Fleet), Host_(Host) {}
    void log(LogLevel, const char *, const std::string &Text) override {
      const std::size_t Position = Text.find("ledger t");
      if (Position != 0)
        return;
      const std::size_t Target = Text[8] - '0';
      if (Text.find(" ejected,") != std::string::npos)
        Fleet_.reportStep(Step::Ejected, Host_, Target);
      if (Text.find(" reinstated,") != std::string::npos)
        Fleet_.reportStep(Step::Reinstated, Host_, Target);
    }

  private:
    CoreFleet &Fleet_;
    std::size_t Host_;
  };

  /// State of one host, including while its process does not run.
  struct FleetHost {
    std::unique_ptr<SeededRandom> Random_;
    std::unique_ptr<Link> Transport_;
    std::unique_ptr<StepLogger> Log_;
    std::unique_ptr<HostCore> Core_;
    /// Raised at each start and kill; events posted for an earlier generation
    /// are dropped.
    unsigned Generation_ = 0;
    Duration ClockOffset_{};
    bool IsPaused_ = false;
    bool IsStopped_ = false;
    std::vector<std::function<void()>> HeldEvents_; ///< Arrived during a pause.
    LinkFaults Link_;
    TimePoint ReachableSince_;
    std::map<FlowId, Flow> Flows_;
    std::map<AttemptId, AttemptPtr> Attempts_;
    std::array<bool, Targets> HasConnection_{};      ///< Kept-alive connection.
    std::array<bool, Targets> IsConnectionSilent_{}; ///< Loses all requests.
    std::uint64_t Version_ = 0;
    std::vector<HostId> Group_;
    TimePoint GroupSince_;
    std::uint64_t UsableSlots_ = 0;
    /// Own slots that ejections must leave usable.
    std::uint64_t RequiredSlots_ = 0;
    bool IsSettled_ = false;
  };

  TimePoint local(std::size_t I) const {
    return now() + Hosts_[I].ClockOffset_;
  }
  static std::string addressOf(std::size_t I) {
    return "10.0.0." + std::to_string(I + 1);
  }
  void reportStep(Step Reached, std::size_t HostIndex, std::size_t Target) {
    if (OnStep_)
      OnStep_(Reached, HostIndex, Target);
  }

  void post(std::size_t I, Duration Delay, std::function<void()> Run);
  void runOnHost(std::size_t I, unsigned Generation,
                 const std::function<void()> &Run);
  void tick(std::size_t I);
  void executeActions(std::size_t I, const CoreActions &Actions);
  void applyStep(std::size_t I, const FlowStep &Next);
  void respond(std::size_t I, const SendPtr &Sent, const SendResult &End);
  void endSend(const SendPtr &Sent, const SendResult &End);
  void admit(std::size_t I, const SendPtr &Sent);

  void startAttempt(std::size_t I, FlowId Id, const AttemptOrder &Order);
  void write(const AttemptPtr &Active);
  void arriveAtBackend(const AttemptPtr &Active);
  void answer(const AttemptPtr &Active, bool IsRefusal);
  void sendAnswer(const AttemptPtr &Active, WireAnswer Sent);
  void receiveAnswer(const AttemptPtr &Active, const WireAnswer &Received);
  void endAttempt(const AttemptPtr &Active, AttemptReport Report,
                  const FleetAnswer &Received);
  AttemptPtr findOtherAttempt(const AttemptPtr &Excluded);

  void sendPeer(std::size_t From, const Endpoint &To, std::string Message);
  Duration linkDelay(const LinkFaults &Faults);
  void callPlatform(std::size_t I, const PlatformCall &Call, TimePoint GiveUp);

  void checkInvariants(std::size_t I);
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
  bool IsLeavingRead_ = false; ///< A host has read PublishedLeaving_.
};

} // namespace kumquatpitch::test

#endif
