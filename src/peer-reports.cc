// Reports between hosts. See peer-reports.h.

#include "kumquatpitch/peer-reports.h"

#include <chrono>

namespace kumquatpitch {

namespace {

/// How often hosts that serve the same service exchange their counts of failed
/// requests. It is a fraction of the 2 s over which the floor (the share of
/// targets to keep in use) is evaluated.
constexpr Duration OutcomeCountPeriod = std::chrono::milliseconds(250);
/// The counts of a service go to at most this many other hosts. In a larger
/// group a random sample is sufficient, and the number of messages that a host
/// sends does not grow with the fleet.
constexpr std::size_t MaxOutcomeCountRecipients = 8;
/// How often changes of targets' rate limits are sent. The users' rule begins
/// to count a host's requests half a second after an answer named the limit to
/// it.
constexpr Duration RateLimitUpdatePeriod = std::chrono::milliseconds(200);
/// Repeated failures of a target are sent to the other hosts at most once in
/// this time.
constexpr Duration EvidenceInterval = std::chrono::milliseconds(300);
/// Names this host as the source of a report in the log.
constexpr const char *OwnSource = "own";

} // namespace

PeerReports::PeerReports(PeerReportsDependencies Dependencies)
    : Dependencies_(std::move(Dependencies)) {
  OutcomeCounts_ = Dependencies_.Timers_.subscribe(
      OutcomeCountPeriod, [this](TimePoint Now) { sendOutcomeCounts(Now); });
  RateLimitUpdates_ = Dependencies_.Timers_.subscribe(
      RateLimitUpdatePeriod,
      [this](TimePoint Now) { sendRateLimitUpdates(Now); });
}

PeerReports::~PeerReports() {
  Dependencies_.Timers_.unsubscribe(OutcomeCounts_);
  Dependencies_.Timers_.unsubscribe(RateLimitUpdates_);
}

void PeerReports::broadcastEvidence(const TargetEntry &Target,
                                    TargetObservation Observation) {
  const TimePoint Now = Dependencies_.Timers_.now();
  TimePoint &LastSent = LastEvidenceAt_[Target.Id_];
  if (Observation == TargetObservation::Failed &&
      Now - LastSent < EvidenceInterval)
    return;
  if (Observation == TargetObservation::Failed)
    LastSent = Now;
  Dependencies_.Peers_.sendToAll(EvidenceMessage{
      Target.Service_, Target.Id_, Target.StartedUnixMs_, Observation, true});
}

void PeerReports::targetLeaves(const TargetEntry &Target) {
  markLeaving(LeavingTarget{Target.Id_, Target.StartedUnixMs_}, OwnSource);
}

void PeerReports::markLeaving(const LeavingTarget &Target,
                              const std::string &Source) {
  const TimePoint Now = Dependencies_.Timers_.now();
  if (!Dependencies_.Directory_.markLeaving(Target, Source != OwnSource, Now))
    return;
  Dependencies_.Core_.setTargets(Dependencies_.Directory_.entries(), Now);
  Dependencies_.Log_.write(LogLevel::Info, "target", "leaving",
                           {{"target", Target.Id_.str()}, {"source", Source}});
}

bool PeerReports::receive(const PeerDatagram &Datagram,
                          const std::string &SenderAddress) {
  if (const EvidenceMessage *Evidence =
          std::get_if<EvidenceMessage>(&Datagram)) {
    receive(*Evidence);
    return true;
  }
  if (const OutcomeCountsMessage *Counts =
          std::get_if<OutcomeCountsMessage>(&Datagram)) {
    for (const std::pair<const ServiceName, RequestOutcomeCounts> &Entry :
         Counts->Services_)
      Dependencies_.Core_.recordPeerOutcomes(Counts->From_, Entry.first,
                                             Entry.second,
                                             Dependencies_.Timers_.now());
    return true;
  }
  if (const RateLimitsMessage *Limits =
          std::get_if<RateLimitsMessage>(&Datagram)) {
    receive(*Limits, SenderAddress);
    return true;
  }
  if (const LeavingTargetsMessage *Leaving =
          std::get_if<LeavingTargetsMessage>(&Datagram)) {
    receive(*Leaving, SenderAddress);
    return true;
  }
  return false;
}

void PeerReports::receive(const EvidenceMessage &Evidence) {
  const std::map<TargetId, TargetEntry> &Targets =
      Dependencies_.Directory_.entries();
  const std::map<TargetId, TargetEntry>::const_iterator It =
      Targets.find(Evidence.Target_);
  if (It != Targets.end() &&
      It->second.StartedUnixMs_ == Evidence.StartedUnixMs_)
    Dependencies_.Core_.applyPeerObservation(
        Evidence.Service_, Evidence.Target_, Evidence.Observation_,
        Dependencies_.Timers_.now());
  Dependencies_.Peers_.forward(Evidence);
}

void PeerReports::receive(const RateLimitsMessage &Limits,
                          const std::string &SenderAddress) {
  for (const NamedRateLimit &Limit : Limits.Limits_)
    if (Dependencies_.Core_.recordPeerRateLimit(Limit,
                                                Dependencies_.Timers_.now()))
      Dependencies_.Log_.write(
          LogLevel::Info, "target", "limit_received",
          {{"service", Limit.Service_.str()},
           {"target", Limit.Target_.str()},
           {"limit", formatRateLimit(Limit.PerSecond_)},
           {"age_ms", std::to_string(toMilliseconds(Limit.Age_))},
           {"sender", SenderAddress}});
  Dependencies_.Peers_.forward(Limits);
}

void PeerReports::receive(const LeavingTargetsMessage &Leaving,
                          const std::string &SenderAddress) {
  for (const LeavingTarget &Target : Leaving.Targets_)
    markLeaving(Target, SenderAddress);
  Dependencies_.Peers_.forward(Leaving);
}

void PeerReports::tick(TimePoint Now) {
  for (const LeavingTargetsMessage &Part : splitLeavingTargets(
           Dependencies_.Directory_.takeLeavingAnnouncements(Now)))
    Dependencies_.Peers_.sendToAll(Part);
  std::erase_if(LastEvidenceAt_,
                [&](const std::pair<const TargetId, TimePoint> &Entry) {
                  return Now - Entry.second > EvidenceInterval;
                });
}

void PeerReports::sendOutcomeCounts(TimePoint Now) {
  std::map<std::string, OutcomeCountsMessage> Messages;
  for (const std::pair<const ServiceName, RequestOutcomeCounts> &Counts :
       Dependencies_.Core_.outcomeCounts(Now)) {
    std::vector<std::string> Candidates = CallerHostAddresses_[Counts.first];
    for (std::size_t Chosen = 0;
         Chosen < MaxOutcomeCountRecipients && !Candidates.empty(); ++Chosen) {
      std::swap(Candidates[Dependencies_.Random_.below(Candidates.size())],
                Candidates.back());
      OutcomeCountsMessage &Message = Messages[Candidates.back()];
      Message.From_ = Dependencies_.Self_;
      if (Message.Services_.size() < MaxOutcomeCounts)
        Message.Services_.insert(Counts);
      Candidates.pop_back();
    }
  }
  for (const std::pair<const std::string, OutcomeCountsMessage> &Entry :
       Messages)
    Dependencies_.Peers_.send(Entry.first, Entry.second);
}

void PeerReports::sendRateLimitUpdates(TimePoint Now) {
  for (const RateLimitsMessage &Part :
       splitRateLimits(Dependencies_.Core_.takeRateLimitUpdates(Now)))
    Dependencies_.Peers_.sendToAll(Part);
}

} // namespace kumquatpitch
