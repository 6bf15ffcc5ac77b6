// At-most-once record of one incarnation. See request-registry.h.

#include "kumquatpitch/request-registry.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// Heap of one entry besides its key's text: the map's node, its share of the
/// hash table and of a bucket's vector after growth, allocator headers.
constexpr std::size_t EntryOverheadBytes = 136;

bool isValidRequestId(std::string_view Id) {
  if (Id.empty() || Id.size() > MaxRequestIdBytes)
    return false;
  return std::all_of(Id.begin(), Id.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

BeginAnswer refusal(ResultCode Code, Outcome Value) {
  return BeginAnswer{false, Code, Value};
}

} // namespace

RequestRegistry::RequestRegistry(HostId Host, Incarnation Run, TimePoint Start,
                                 RegistryLimits Limits)
    : Host_(std::move(Host)), Incarnation_(Run), Start_(Start),
      Limits_(Limits) {}

std::uint64_t RequestRegistry::issueEpoch(TimePoint Now) {
  expire(Now);
  return CurrentEpoch_;
}

RequestToken RequestRegistry::issueToken(const ServiceName &Service,
                                         TimePoint Now) {
  return RequestToken{Service, Host_, Incarnation_, issueEpoch(Now)};
}

BeginAnswer RequestRegistry::begin(const RequestToken &Token,
                                   const RequestKey &Key, TimePoint Now) {
  expire(Now);
  if (Token.Host_ != Host_ || Token.Incarnation_ != Incarnation_)
    return refusal(ResultCode::TokenForeign, Outcome::Unknown);
  // No host runs a request whose id is invalid, so it cannot have run.
  if (!isValidRequestId(Key.Id_))
    return refusal(ResultCode::RequestMalformed, Outcome::NotRun);
  // The request may have run under its right token, and a token of a later
  // epoch becomes acceptable with time, when a delayed copy could run. Neither
  // allows `not-run`.
  if (Token.Service_ != Key.Service_ || Token.Epoch_ > CurrentEpoch_)
    return refusal(ResultCode::TokenInvalid, Outcome::Unknown);
  if (Token.Epoch_ + PastTokenEpochs < CurrentEpoch_)
    return refusal(ResultCode::TokenExpired, Outcome::Unknown);
  const std::string Stored = storedKey(Key);
  const EntryMap::iterator It = Entries_.find(Stored);
  if (It == Entries_.end())
    return beginNew(Stored, Token, Key.Customer_, Key.Resend_);
  return beginKnown(It->second, Token, Key);
}

BeginAnswer RequestRegistry::beginKnown(Entry &Known, const RequestToken &Token,
                                        const RequestKey &Key) {
  Known.LastEpoch_ = std::max(Known.LastEpoch_, Token.Epoch_);
  switch (Known.State_) {
  case State::InProgress:
  case State::Unknown:
    return refusal(ResultCode::RequestDuplicate, Outcome::Unknown);
  case State::Ran:
    return refusal(ResultCode::RequestAlreadyRan, Outcome::Ran);
  case State::NotRun:
    break;
  }
  // A copy of a request that was told `not-run`.
  if (Key.Resend_ <= Known.Resend_)
    return refusal(ResultCode::RequestDuplicate, Outcome::NotRun);
  Known.Resend_ = Key.Resend_;
  Known.State_ = State::InProgress;
  return BeginAnswer{true};
}

BeginAnswer RequestRegistry::beginNew(const std::string &Stored,
                                      const RequestToken &Token,
                                      const CustomerName &Customer,
                                      std::uint32_t Resend) {
  Usage &Used = Usage_[Customer];
  // While its epoch is accepted an id that ran is remembered, so an id that is
  // not remembered has not run. The refused ids do not fit into the registry;
  // closing the epochs issued so far keeps their delayed copies from running.
  if (isFull(Used, chargedBytes(Stored)))
    Used.OpenEpoch_ = CurrentEpoch_ + 1;
  if (Token.Epoch_ < Used.OpenEpoch_)
    return refusal(ResultCode::RegistryFull, Outcome::NotRun);
  const EntryMap::iterator It =
      Entries_.emplace(Stored, Entry{Token.Epoch_, Resend, State::InProgress})
          .first;
  addToBucket(Token.Epoch_, &*It);
  Bytes_ += chargedBytes(Stored);
  ++Used.Entries_;
  return BeginAnswer{true};
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
  const EntryMap::iterator It = Entries_.find(storedKey(Key));
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
    const Bucket Old = std::move(Buckets_.front());
    Buckets_.pop_front();
    expireBucket(Old);
  }
}

void RequestRegistry::expireBucket(const Bucket &Old) {
  for (const EntryMap::value_type *Member : Old.Members_) {
    if (Member->second.LastEpoch_ + PastTokenEpochs < CurrentEpoch_)
      forget(Member);
    else
      addToBucket(Member->second.LastEpoch_, Member);
  }
}

void RequestRegistry::addToBucket(std::uint64_t Epoch,
                                  const EntryMap::value_type *Member) {
  const std::deque<Bucket>::iterator At = std::lower_bound(
      Buckets_.begin(), Buckets_.end(), Epoch,
      [](const Bucket &Each, std::uint64_t Key) { return Each.Epoch_ < Key; });
  if (At != Buckets_.end() && At->Epoch_ == Epoch)
    At->Members_.push_back(Member);
  else
    Buckets_.insert(At, Bucket{Epoch, {Member}});
}

void RequestRegistry::forget(const EntryMap::value_type *Member) {
  const std::string Customer =
      Member->first.substr(0, Member->first.find('\0'));
  Bytes_ -= chargedBytes(Member->first);
  const std::map<CustomerName, Usage>::iterator Used =
      Usage_.find(CustomerName(Customer));
  if (Used != Usage_.end() && Used->second.Entries_ > 0)
    --Used->second.Entries_;
  Entries_.erase(Member->first);
}

std::string RequestRegistry::storedKey(const RequestKey &Key) {
  std::string Stored;
  Stored.reserve(Key.Customer_.str().size() + Key.Service_.str().size() +
                 Key.Id_.size() + 2);
  Stored += Key.Customer_.str();
  Stored += '\0';
  Stored += Key.Service_.str();
  Stored += '\0';
  Stored += Key.Id_;
  return Stored;
}

std::size_t RequestRegistry::chargedBytes(const std::string &Stored) {
  return EntryOverheadBytes + Stored.size();
}

} // namespace kumquatpitch
