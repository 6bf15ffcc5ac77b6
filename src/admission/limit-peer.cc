// A host's messages about the workspaces' limits. See limit-peer.h.

#include "kumquatpitch/admission/limit-peer.h"

#include <algorithm>
#include <tuple>

namespace kumquatpitch {

namespace {

/// Others go before a coordinator for this long after it did not answer offers,
/// and after it did not answer a request.
constexpr Duration SuspicionTime = std::chrono::seconds(3);
constexpr Duration SilenceTime = std::chrono::seconds(1);
/// A coordinator that left this many offers in a row without an answer is
/// suspected. With a loss of 5 in 100, that is one in 1,000 exchanges.
constexpr std::uint32_t MaxUnansweredOffers = 3;
/// A host that has met no other since its start owns parts only after this
/// time: it may be cut off from a fleet that it does not know.
constexpr Duration AloneSettleTime = std::chrono::seconds(60);

} // namespace

LimitRoles limitRolesOf(std::vector<Member> Members) {
  std::ranges::sort(Members, [](const Member &Left, const Member &Right) {
    return std::tie(Right.Processor_, Left.Id_) <
           std::tie(Left.Processor_, Right.Id_);
  });
  LimitRoles Roles;
  for (const Member &Host : Members) {
    if (Host.State_ == MemberState::Serving)
      Roles.Coordinators_.push_back(Host.Id_);
    if (Roles.Holders_.size() < MaxLimitPartHolders)
      Roles.Holders_.insert(Host.Id_);
  }
  return Roles;
}

LimitPeer::LimitPeer(HostId Self, Incarnation OwnIncarnation,
                     LimitTolerance Tolerance, bool HasSeeds,
                     WorkspaceLimits &Limits)
    : Self_(Self), Limits_(Limits), Holder_(Self),
      Coordinator_(Self, OwnIncarnation, Tolerance), HasMetOthers_(!HasSeeds) {
  Limits_.enable(std::move(Self), OwnIncarnation);
}

void LimitPeer::setMembers(const std::vector<Member> &Members, TimePoint Now) {
  Roles_ = limitRolesOf(Members);
  Coordinator_.setHolders(Roles_.Holders_, Now);
  for (const Member &Host : Members) {
    HasMetOthers_ = HasMetOthers_ || Host.Id_ != Self_;
    if (Host.Id_ == Self_)
      IsLeaving_ = Host.State_ == MemberState::Leaving;
  }
  updatePart(Now);
}

void LimitPeer::updatePart(TimePoint Now) {
  const bool IsSettled =
      StartedAt_ && Now - *StartedAt_ >=
                        (HasMetOthers_ ? LimitPartSettleTime : AloneSettleTime);
  Holder_.setDivisor(IsSettled && Roles_.Holders_.contains(Self_)
                         ? static_cast<std::uint32_t>(Roles_.Holders_.size())
                         : 0);
}

static bool isListed(const std::map<HostId, TimePoint> &Until,
                     const HostId &Host, TimePoint Now) {
  const std::map<HostId, TimePoint>::const_iterator It = Until.find(Host);
  return It != Until.end() && Now < It->second;
}

std::optional<HostId> LimitPeer::coordinator(TimePoint Now) const {
  for (const HostId &Host : Roles_.Coordinators_)
    if (!isListed(SuspectedUntil_, Host, Now))
      return Host;
  return std::nullopt;
}

/// The coordinator that is asked for tokens. The one that has the parts may
/// answer this host again earlier than the next one gets them.
std::optional<HostId> LimitPeer::lender(TimePoint Now) const {
  for (const HostId &Host : Roles_.Coordinators_)
    if (!isListed(SuspectedUntil_, Host, Now) &&
        !isListed(SilentUntil_, Host, Now))
      return Host;
  return coordinator(Now);
}

std::vector<AddressedLimitMessage> LimitPeer::tick(TimePoint Now) {
  Messages Out;
  if (!StartedAt_)
    StartedAt_ = Now;
  const auto IsOver = [&](const std::pair<const HostId, TimePoint> &Entry) {
    return Entry.second <= Now;
  };
  std::erase_if(SuspectedUntil_, IsOver);
  std::erase_if(SilentUntil_, IsOver);
  updatePart(Now);
  if (Now >= OfferDueAt_) {
    OfferDueAt_ = Now + LimitPartOfferPeriod;
    offerPart(Now, Out);
  }
  requestTokens(Now, Out);
  return Out;
}

std::vector<AddressedLimitMessage> LimitPeer::tokenNeeded(TimePoint Now) {
  Messages Out;
  if (Limits_.hasNewNeed())
    requestTokens(Now, Out);
  return Out;
}

std::vector<AddressedLimitMessage>
LimitPeer::receive(const LimitMessage &Message, TimePoint Now) {
  Messages Out;
  handle(Message, Now, Out);
  return Out;
}

void LimitPeer::offerPart(TimePoint Now, Messages &Out) {
  if (Offered_ && *Offered_ != Self_ &&
      UnansweredOffers_ >= MaxUnansweredOffers)
    SuspectedUntil_[*Offered_] = Now + SuspicionTime;
  const std::optional<HostId> Chosen = coordinator(Now);
  if (Chosen != Offered_)
    UnansweredOffers_ = 0;
  Offered_ = Chosen;
  for (AddressedPartOffer &Offer : Holder_.offers(Chosen, Now)) {
    UnansweredOffers_ += Offer.To_ == Chosen ? 1 : 0;
    send(Offer.To_, std::move(Offer.Offer_), Now, Out);
  }
}

void LimitPeer::requestTokens(TimePoint Now, Messages &Out) {
  std::optional<TokenRequest> Request = Limits_.nextRequest(Now);
  if (Limits_.takeSilence() && Requested_ && *Requested_ != Self_)
    SilentUntil_[*Requested_] = Now + SilenceTime;
  if (!Request)
    return;
  Requested_ = lender(Now);
  if (Requested_)
    send(*Requested_, std::move(*Request), Now, Out);
}

/// Messages to this host itself are handled at once.
void LimitPeer::send(const HostId &To, LimitMessage Message, TimePoint Now,
                     Messages &Out) {
  if (To == Self_)
    return handle(Message, Now, Out);
  Out.push_back({To, std::move(Message)});
}

void LimitPeer::handle(const LimitMessage &Message, TimePoint Now,
                       Messages &Out) {
  if (const LimitPartOffer *Offer = std::get_if<LimitPartOffer>(&Message)) {
    send(Offer->From_, Coordinator_.onOffer(*Offer, !IsLeaving_, Now), Now,
         Out);
  } else if (const LimitPartQuestion *Question =
                 std::get_if<LimitPartQuestion>(&Message)) {
    if (Question->From_ == Offered_)
      UnansweredOffers_ = 0;
    Holder_.onQuestion(*Question, Now);
    // A part that is in no use is offered at once.
    if (Holder_.isFree(Now))
      offerPart(Now, Out);
  } else if (const TokenRequest *Request =
                 std::get_if<TokenRequest>(&Message)) {
    if (std::optional<TokenAnswer> Answer =
            Coordinator_.onRequest(*Request, Now))
      send(Request->From_, std::move(*Answer), Now, Out);
  } else if (const TokenAnswer *Answer = std::get_if<TokenAnswer>(&Message)) {
    if (!Answer->HasShare_)
      SilentUntil_.clear();
    // Requests that began to wait meanwhile are asked for at once.
    if (Limits_.onAnswer(*Answer, Now) && Limits_.hasNewNeed())
      requestTokens(Now, Out);
  }
}

} // namespace kumquatpitch
