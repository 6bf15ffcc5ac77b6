// Known peers. See peer-directory.h.

#include "kumquatpitch/peer-directory.h"

#include <iterator>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxKnownContacts = 256;
constexpr std::size_t RandomTries = 16;
constexpr std::size_t MaxHeardLast = 16;
constexpr Duration HeardTimeout = std::chrono::seconds(5);
constexpr Duration ContactTimeout = std::chrono::seconds(60);
constexpr Duration RelayTimeout = std::chrono::seconds(20);

PeerContact contactOf(const HostRecord &Host) {
  return PeerContact{Host.Id_, Host.Domain_, {Host.Address_, Host.PeerPort_}};
}

} // namespace

void PeerDirectory::noteContact(const PeerContact &Contact, bool Direct,
                                TimePoint Now) {
  if (Contact.Id_ == Self_)
    return;
  if (!Contacts_.count(Contact.Id_) && Contacts_.size() >= MaxKnownContacts)
    return;
  Known &Entry =
      Contacts_.try_emplace(Contact.Id_, Known{Contact, Now, TimePoint::min()})
          .first->second;
  if (!Direct && Entry.Direct_ != TimePoint::min())
    return;
  Entry.Contact_ = Contact;
  Entry.Heard_ = Now;
  if (Direct)
    Entry.Direct_ = Now;
}

void PeerDirectory::noteHeard(const HostId &Id, TimePoint Now) {
  std::erase_if(HeardLast_, [&](const std::pair<HostId, TimePoint> &Each) {
    return Each.first == Id;
  });
  HeardLast_.emplace_back(Id, Now);
  if (HeardLast_.size() > MaxHeardLast)
    HeardLast_.pop_front();
}

std::optional<PeerContact> PeerDirectory::randomHeard(RandomSource &Random,
                                                      TimePoint Now) const {
  std::vector<const HostId *> Heard;
  for (const std::pair<HostId, TimePoint> &Each : HeardLast_)
    if (Now - Each.second <= HeardTimeout)
      Heard.push_back(&Each.first);
  return Heard.empty() ? std::nullopt
                       : find(*Heard[Random.below(Heard.size())]);
}

std::optional<PeerContact> PeerDirectory::find(const HostId &Id) const {
  const std::map<HostId, Known>::const_iterator It = Contacts_.find(Id);
  if (It != Contacts_.end() && It->second.Direct_ != TimePoint::min())
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

std::optional<PeerContact> PeerDirectory::randomOf(const CustomerName &Customer,
                                                   RandomSource &Random) const {
  for (std::size_t Try = 0; Try < RandomTries && Hosts_.size() > 0; ++Try) {
    const HostRecord &Host = Hosts_.at(Random.below(Hosts_.size()));
    if (Host.Id_ != Self_ && Host.State_ == HostState::Live &&
        Host.CustomerPorts_.count(Customer))
      return contactOf(Host);
  }
  return random(Random);
}

std::vector<PeerContact> PeerDirectory::unlisted(std::size_t Most,
                                                 RandomSource &Random,
                                                 TimePoint Now) const {
  std::vector<PeerContact> Found;
  for (const std::pair<const HostId, Known> &Each : Contacts_)
    if (Each.second.Direct_ != TimePoint::min() &&
        Now - Each.second.Direct_ <= RelayTimeout &&
        !Hosts_.find(Each.first.str()))
      Found.push_back(Each.second.Contact_);
  while (Found.size() > Most)
    Found.erase(Found.begin() +
                static_cast<std::ptrdiff_t>(Random.below(Found.size())));
  return Found;
}

void PeerDirectory::expire(TimePoint Now) {
  std::erase_if(Contacts_, [&](const std::pair<const HostId, Known> &Each) {
    return Now - Each.second.Heard_ > ContactTimeout;
  });
}

} // namespace kumquatpitch
