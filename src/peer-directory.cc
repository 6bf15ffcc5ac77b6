// Contacts of peers. See peer-directory.h.

#include "kumquatpitch/peer-directory.h"

#include <iterator>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxKnownContacts = 256;
constexpr std::size_t RandomTries = 16;
constexpr std::size_t MaxRecentSenders = 16;
constexpr Duration RecentSenderTimeout = std::chrono::seconds(5);
constexpr Duration ContactTimeout = std::chrono::seconds(60);
constexpr Duration RelayTimeout = std::chrono::seconds(20);

PeerContact contactOf(const HostRecord &Host) {
  return PeerContact{Host.Id_, Host.Domain_, {Host.Address_, Host.PeerPort_}};
}

} // namespace

void PeerDirectory::recordContact(const PeerContact &Contact, bool IsDirect,
                                  TimePoint Now) {
  if (Contact.Id_ == Self_)
    return;
  if (!Contacts_.count(Contact.Id_) && Contacts_.size() >= MaxKnownContacts)
    return;
  KnownContact &Entry =
      Contacts_
          .try_emplace(Contact.Id_,
                       KnownContact{Contact, Now, TimePoint::min()})
          .first->second;
  if (!IsDirect && Entry.DirectlyUpdated_ != TimePoint::min())
    return;
  Entry.Contact_ = Contact;
  Entry.Updated_ = Now;
  if (IsDirect)
    Entry.DirectlyUpdated_ = Now;
}

void PeerDirectory::recordMessageFrom(const HostId &Id, TimePoint Now) {
  std::erase_if(RecentSenders_,
                [&](const std::pair<HostId, TimePoint> &Sender) {
                  return Sender.first == Id;
                });
  RecentSenders_.emplace_back(Id, Now);
  if (RecentSenders_.size() > MaxRecentSenders)
    RecentSenders_.pop_front();
}

std::optional<PeerContact>
PeerDirectory::randomRecentSender(RandomSource &Random, TimePoint Now) const {
  std::vector<const HostId *> Recent;
  for (const std::pair<HostId, TimePoint> &Sender : RecentSenders_)
    if (Now - Sender.second <= RecentSenderTimeout)
      Recent.push_back(&Sender.first);
  return Recent.empty() ? std::nullopt
                        : find(*Recent[Random.below(Recent.size())]);
}

std::optional<PeerContact> PeerDirectory::find(const HostId &Id) const {
  const std::map<HostId, KnownContact>::const_iterator It = Contacts_.find(Id);
  if (It != Contacts_.end() && It->second.DirectlyUpdated_ != TimePoint::min())
    return It->second.Contact_;
  if (const HostRecord *Host = Hosts_.find(Id.str()))
    return contactOf(*Host);
  if (It != Contacts_.end())
    return It->second.Contact_;
  return std::nullopt;
}

std::optional<PeerContact> PeerDirectory::random(RandomSource &Random) const {
  const std::size_t Count = Hosts_.size() + Contacts_.size();
  for (std::size_t Try = 0; Try < RandomTries && Count > 0; ++Try) {
    const std::size_t Index = Random.below(Count);
    if (Index >= Hosts_.size())
      return std::next(Contacts_.begin(),
                       static_cast<std::ptrdiff_t>(Index - Hosts_.size()))
          ->second.Contact_;
    const HostRecord &Host = Hosts_.at(Index);
    if (Host.Id_ != Self_ && Host.State_ == HostState::Live)
      return contactOf(Host);
  }
  return std::nullopt;
}

std::optional<PeerContact>
PeerDirectory::randomServing(const CustomerName &Customer,
                             RandomSource &Random) const {
  for (std::size_t Try = 0; Try < RandomTries && Hosts_.size() > 0; ++Try) {
    const HostRecord &Host = Hosts_.at(Random.below(Hosts_.size()));
    if (Host.Id_ != Self_ && Host.State_ == HostState::Live &&
        Host.CustomerPorts_.count(Customer))
      return contactOf(Host);
  }
  return random(Random);
}

std::vector<PeerContact> PeerDirectory::unlistedContacts(std::size_t MaxCount,
                                                         RandomSource &Random,
                                                         TimePoint Now) const {
  std::vector<PeerContact> Unlisted;
  for (const std::pair<const HostId, KnownContact> &Contact : Contacts_)
    if (Contact.second.DirectlyUpdated_ != TimePoint::min() &&
        Now - Contact.second.DirectlyUpdated_ <= RelayTimeout &&
        !Hosts_.find(Contact.first.str()))
      Unlisted.push_back(Contact.second.Contact_);
  while (Unlisted.size() > MaxCount)
    Unlisted.erase(Unlisted.begin() +
                   static_cast<std::ptrdiff_t>(Random.below(Unlisted.size())));
  return Unlisted;
}

void PeerDirectory::expire(TimePoint Now) {
  std::erase_if(Contacts_,
                [&](const std::pair<const HostId, KnownContact> &Contact) {
                  return Now - Contact.second.Updated_ > ContactTimeout;
                });
}

} // namespace kumquatpitch
