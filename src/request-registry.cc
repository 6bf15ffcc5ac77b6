// Admission, outcomes and expiry of registered requests. See
// request-registry.h.

#include "kumquatpitch/request-registry.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// Heap bytes of one entry besides its key's text: the map node, its share of
/// the hash table and of a bucket's vector after growth, and allocator headers.
constexpr std::size_t EntryOverheadBytes = 136;

bool isValidRequestId(std::string_view Id) {
  if (Id.empty() || Id.size() > MaxRequestIdBytes)
    return false;
  return std::all_of(Id.begin(), Id.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

BeginResult refusal(ResultCode Code, Outcome Value) {
  return BeginResult{false, Code, Value};
}

} // namespace

RequestRegistry::RequestRegistry(HostId Host, Incarnation OwnIncarnation,
                                 TimePoint Start, RegistryLimits Limits)
    : Host_(std::move(Host)), Incarnation_(OwnIncarnation), Start_(Start),
      Limits_(Limits) {}

std::uint64_t RequestRegistry::issueEpoch(TimePoint Now) {
  expire(Now);
  return CurrentEpoch_;
}

RequestToken RequestRegistry::issueToken(const ServiceName &Service,
                                         TimePoint Now) {
  return RequestToken{Service, Host_, Incarnation_, issueEpoch(Now)};
}

BeginResult RequestRegistry::begin(const RequestToken &Token,
                                   const RequestKey &Key, TimePoint Now) {
  expire(Now);
  if (Token.Host_ != Host_ || Token.Incarnation_ != Incarnation_)
    return refusal(ResultCode::TokenForeign, Outcome::Unknown);
  // Every host refuses a request with an invalid id, so it cannot have run.
  if (!isValidRequestId(Key.Id_))
    return refusal(ResultCode::RequestMalformed, Outcome::NotRun);
  // The outcome is unknown in both cases: the request may have run under its
  // correct token, and a token of a future epoch becomes valid later, when a
  // delayed copy could run.
  if (Token.Service_ != Key.Service_ || Token.Epoch_ > CurrentEpoch_)
    return refusal(ResultCode::TokenInvalid, Outcome::Unknown);
  if (Token.Epoch_ + PastTokenEpochs < CurrentEpoch_)
    return refusal(ResultCode::TokenExpired, Outcome::Unknown);
  const std::string MapKey = mapKey(Key);
  const EntryMap::iterator It = Entries_.find(MapKey);
  if (It == Entries_.end())
    return beginNew(MapKey, Token, Key.Customer_, Key.Resend_);
  return beginExisting(It->second, Token, Key);
}

BeginResult RequestRegistry::beginExisting(Entry &Existing,
                                           const RequestToken &Token,
                                           const RequestKey &Key) {
  Existing.LastEpoch_ = std::max(Existing.LastEpoch_, Token.Epoch_);
  switch (Existing.State_) {
  case State::InProgress:
  case State::Unknown:
    return refusal(ResultCode::RequestDuplicate, Outcome::Unknown);
  case State::Ran:
    return refusal(ResultCode::RequestAlreadyRan, Outcome::Ran);
  case State::NotRun:
    break;
  }
  // A copy of a send that was answered with `not-run`.
  if (Key.Resend_ <= Existing.Resend_)
    return refusal(ResultCode::RequestDuplicate, Outcome::NotRun);
  Existing.Resend_ = Key.Resend_;
  Existing.State_ = State::InProgress;
  return BeginResult{true};
}

BeginResult RequestRegistry::beginNew(const std::string &MapKey,
                                      const RequestToken &Token,
                                      const CustomerName &Customer,
                                      std::uint32_t Resend) {
  Usage &Used = Usage_[Customer];
  // An id that ran is kept as long as its epoch is accepted, so an id that is
  // not in the registry has not run. A full registry cannot store the refused
  // ids; it refuses new ids of all epochs issued so far instead, so that
  // delayed copies of refused requests do not run.
  if (isFull(Used, entryBytes(MapKey)))
    Used.MinNewEpoch_ = CurrentEpoch_ + 1;
  if (Token.Epoch_ < Used.MinNewEpoch_)
    return refusal(ResultCode::RegistryFull, Outcome::NotRun);
  const EntryMap::iterator It =
      Entries_.emplace(MapKey, Entry{Token.Epoch_, Resend, State::InProgress})
          .first;
  addToBucket(Token.Epoch_, &*It);
  Bytes_ += entryBytes(MapKey);
  ++Used.Entries_;
  return BeginResult{true};
}

bool RequestRegistry::isFull(const Usage &Customer,
                             std::size_t MoreBytes) const {
  return Entries_.size() >= Limits_.MaxEntries_ ||
         Bytes_ + MoreBytes > Limits_.MaxBytes_ ||
         Customer.Entries_ >= Limits_.MaxCustomerEntries_;
}

void RequestRegistry::finish(const RequestToken &Token, const RequestKey &Key,
                             Outcome Value, TimePoint Now) {
  expire(Now);
  if (Token.Host_ != Host_ || Token.Incarnation_ != Incarnation_)
    return;
  const EntryMap::iterator It = Entries_.find(mapKey(Key));
  if (It == Entries_.end() || It->second.State_ != State::InProgress ||
      It->second.Resend_ != Key.Resend_)
    return;
  switch (Value) {
  case Outcome::NotRun:
    It->second.State_ = State::NotRun;
    return;
  case Outcome::Ran:
    It->second.State_ = State::Ran;
    return;
  case Outcome::Unknown:
    It->second.State_ = State::Unknown;
    return;
  }
}

void RequestRegistry::expire(TimePoint Now) {
  const Duration Uptime = std::max(Now - Start_, Duration::zero());
  CurrentEpoch_ =
      std::max(CurrentEpoch_, static_cast<std::uint64_t>(Uptime / TokenEpoch));
  while (!Buckets_.empty() &&
         Buckets_.front().Epoch_ + PastTokenEpochs < CurrentEpoch_) {
    const Bucket Expired = std::move(Buckets_.front());
    Buckets_.pop_front();
    expireBucket(Expired);
  }
}

void RequestRegistry::expireBucket(const Bucket &Expired) {
  for (const EntryMap::value_type *Member : Expired.Members_) {
    if (Member->second.LastEpoch_ + PastTokenEpochs < CurrentEpoch_)
      eraseEntry(Member);
    else
      addToBucket(Member->second.LastEpoch_, Member);
  }
}

void RequestRegistry::addToBucket(std::uint64_t Epoch,
                                  const EntryMap::value_type *Member) {
  const std::deque<Bucket>::iterator It =
      std::lower_bound(Buckets_.begin(), Buckets_.end(), Epoch,
                       [](const Bucket &Candidate, std::uint64_t Value) {
                         return Candidate.Epoch_ < Value;
                       });
  if (It != Buckets_.end() && It->Epoch_ == Epoch)
    It->Members_.push_back(Member);
  else
    Buckets_.insert(It, Bucket{Epoch, {Member}});
}

void RequestRegistry::eraseEntry(const EntryMap::value_type *Member) {
  const std::string Customer =
      Member->first.substr(0, Member->first.find('\0'));
  Bytes_ -= entryBytes(Member->first);
  const std::map<CustomerName, Usage>::iterator Used =
      Usage_.find(CustomerName(Customer));
  if (Used != Usage_.end() && Used->second.Entries_ > 0)
    --Used->second.Entries_;
  Entries_.erase(Member->first);
}

std::string RequestRegistry::mapKey(const RequestKey &Key) {
  std::string MapKey;
  MapKey.reserve(Key.Customer_.str().size() + Key.Service_.str().size() +
                 Key.Id_.size() + 2);
  MapKey += Key.Customer_.str();
  MapKey += '\0';
  MapKey += Key.Service_.str();
  MapKey += '\0';
  MapKey += Key.Id_;
  return MapKey;
}

std::size_t RequestRegistry::entryBytes(const std::string &MapKey) {
  return EntryOverheadBytes + MapKey.size();
}

} // namespace kumquatpitch
