// One daemon's decisions. See host-core.h.

#include "kumquatpitch/host-core.h"

#include "kumquatpitch/assignment.h"

namespace kumquatpitch {

HostCore::HostCore(HostIdentity Self, RandomSource &Random, Logger &Log,
                   TimePoint Start)
    : Self_(std::move(Self)), Random_(Random), Log_(Log),
      Flow_(Self_.Id_, Self_.Incarnation_, Start) {}

void HostCore::applyCatalog(std::shared_ptr<const Catalog> Value,
                            TimePoint Now) {
  if (Catalog_ && Value->Version_ <= Catalog_->Version_)
    return;
  Catalog_ = std::move(Value);
  Log_.log(LogLevel::Info, "config",
           "version " + std::to_string(Catalog_->Version_) + " is in force");
  renewServices(Now);
}

void HostCore::applyHosts(HostList List, TimePoint Now) {
  if (List.Version_ <= Hosts_.Version_)
    return;
  Hosts_ = std::move(List);
  Log_.log(LogLevel::Info, "hosts",
           "list " + std::to_string(Hosts_.Version_) + " names " +
               std::to_string(Hosts_.Hosts_.size()) + " hosts");
  renewServices(Now);
}

void HostCore::renewServices(TimePoint Now) {
  if (!Catalog_)
    return;
  const Assignment Assigned(Hosts_);
  ServiceMap Renewed;
  for (const std::pair<const CustomerName, CustomerConfig> &Each :
       Catalog_->Customers_)
    for (const ServiceTerms &Terms : Each.second.Contract_->Services_) {
      const std::shared_ptr<const ServiceEntry> Entry =
          Each.second.Services_.at(Terms.Service_);
      ServiceConfig Config{Each.second.Contract_, &Terms, Entry,
                           Assigned.group(*Entry)};
      const ServiceMap::iterator Known = Services_.find(Terms.Service_);
      if (Known == Services_.end()) {
        Renewed.emplace(Terms.Service_, std::make_shared<ServiceRuntime>(
                                            std::move(Config), Self_.Id_, Now));
        continue;
      }
      Known->second->setConfig(std::move(Config), Now);
      Renewed.insert(*Known);
    }
  Services_ = std::move(Renewed);
}

std::uint64_t HostCore::maxBodyBytes(const CustomerName &Customer,
                                     std::string_view Method,
                                     std::string_view Target) const {
  const Contract *Terms =
      Catalog_ ? findContract(*Catalog_, Customer) : nullptr;
  if (!Terms)
    return 0;
  const RouteMatch Match = findRoute(*Terms, Method, Target);
  return Match.Terms_ ? Match.Terms_->MaxBodyBytes_ : 0;
}

FlowStep HostCore::refuseEarly(ResultCode Code, const std::string &Message) {
  return FlowStep{0, Refusal{Code, Outcome::NotRun, Message, {}}};
}

FlowStep HostCore::admit(const CallerRequest &Request, TimePoint Now) {
  if (!Catalog_)
    return refuseEarly(ResultCode::NotReady, "no configuration yet");
  const Contract *Terms = findContract(*Catalog_, Request.Customer_);
  const RouteMatch Match =
      Terms ? findRoute(*Terms, Request.Method_, Request.Target_)
            : RouteMatch();
  if (!Match.Route_)
    return refuseEarly(ResultCode::RouteUnknown,
                       "no route of the contract matches");
  const RoutedRequest Routed{Request, Match.Route_->Idempotent_,
                             Services_.at(Match.Terms_->Service_)};
  return Flow_.admit(Routed, Now);
}

CoreActions HostCore::finishAttempt(FlowId Flow, const AttemptReport &Report,
                                    TimePoint Now) {
  return Flow_.finishAttempt(Flow, Report, Now);
}

CoreActions HostCore::abandon(FlowId Flow, TimePoint Now) {
  return Flow_.abandon(Flow, Now);
}

bool HostCore::mayWrite(FlowId Flow, TimePoint Now) const {
  return Flow_.mayWrite(Flow, Now);
}

CoreActions HostCore::tick(TimePoint Now) { return Flow_.tick(Now); }

Result<AddressAnswer> HostCore::addresses(const CustomerName &Customer,
                                          const ServiceName &Service,
                                          TimePoint Now) {
  if (!Catalog_)
    return fail(ResultCode::NotReady, "no configuration yet");
  const Contract *Terms = findContract(*Catalog_, Customer);
  if (!Terms || !findTerms(*Terms, Service))
    return fail(ResultCode::ServiceUnknown,
                "the contract names no such service");
  const ServiceRuntime &Served = *Services_.at(Service);
  AddressAnswer Answer{Service, Catalog_->Version_, {}};
  for (const GroupMember &Member :
       addressOrder(Served.config().Group_, Served.plan().weights(), Random_))
    if (!(IsLeaving_ && Member.Host_ == Self_.Id_))
      Answer.Hosts_.push_back(
          AddressOption{Member.Host_, Member.Domain_, Member.Address_,
                        tokenFor(Member.Host_, Service, Now)});
  return Answer;
}

std::string HostCore::tokenFor(const HostId &Host, const ServiceName &Service,
                               TimePoint Now) {
  if (Host == Self_.Id_)
    return formatToken(Flow_.registry().issueToken(Service, Now));
  return "";
}

void HostCore::beginStop(TimePoint Now) {
  if (IsLeaving_)
    return;
  IsLeaving_ = true;
  LeavingSince_ = Now;
  Log_.log(LogLevel::Info, "stop", "leaving; no new callers are sent here");
}

bool HostCore::mayStop(TimePoint Now) const {
  return IsLeaving_ && Now - LeavingSince_ > AddressKeepTime &&
         Flow_.inProgress() == 0;
}

} // namespace kumquatpitch
