// CBOR encoding of peer datagrams. See peer-datagram.h.

#include "kumquatpitch/peer-datagram.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace kumquatpitch {

namespace {

using Json = nlohmann::json;

/// The first element of every message; the second is its kind.
constexpr int FormatVersion = 1;
enum class MessageKind : std::uint8_t {
  Probe = 1,
  Progress = 2,
  Evidence = 3,
  OutcomeCounts = 4,
  RateLimits = 5,
  LimitPartOffer = 6,
  LimitPartQuestion = 7,
  TokenRequest = 8,
  TokenAnswer = 9,
  ProofQuery = 10,
  ProofAnswer = 11,
  LeavingTargets = 12
};
/// A rate limit is announced within seconds of the answer that named it.
constexpr Duration MaxRateLimitAge = std::chrono::hours(1);
constexpr std::int64_t MaxNextTokenMs = 60'000;
constexpr std::uint32_t MaxTokens = 65'535;
/// A proof lasts for seconds.
constexpr Duration MaxProofAge = std::chrono::hours(1);

Json toJson(const Member &Host) {
  return Json::array({Host.Id_.str(), Host.Address_, Host.Domain_.str(),
                      Host.Region_.str(), Host.Incarnation_, Host.Version_,
                      static_cast<int>(Host.State_), Host.Processor_});
}

Member decodeMember(const Json &Array) {
  Member Host;
  Host.Id_ = HostId(Array.at(0).get<std::string>());
  Host.Address_ = Array.at(1).get<std::string>();
  Host.Domain_ = FailureDomain(Array.at(2).get<std::string>());
  Host.Region_ = Region(Array.at(3).get<std::string>());
  Host.Incarnation_ = Array.at(4).get<std::uint64_t>();
  Host.Version_ = Array.at(5).get<std::uint32_t>();
  const int State = Array.at(6).get<int>();
  if (State < 0 || State > static_cast<int>(MemberState::Lost))
    throw std::out_of_range("unknown member state");
  Host.State_ = static_cast<MemberState>(State);
  Host.Processor_ = Array.at(7).get<std::uint32_t>();
  return Host;
}

Json toJson(const TargetChange &Change) {
  if (!Change.Entry_)
    return Json::array({Change.Id_.str(), Change.Revision_});
  const TargetEntry &Entry = *Change.Entry_;
  return Json::array({Change.Id_.str(), Change.Revision_, Entry.Service_.str(),
                      Entry.Address_.Address_, Entry.Address_.Port_,
                      Entry.Domain_.str(), Entry.Slots_, Entry.Leaving_,
                      Entry.StartedUnixMs_, Entry.ColdFor_.count()});
}

TargetChange decodeChange(const Json &Array) {
  TargetChange Change;
  Change.Id_ = TargetId(Array.at(0).get<std::string>());
  Change.Revision_ = Array.at(1).get<std::uint64_t>();
  if (Array.size() == 2)
    return Change;
  TargetEntry Entry;
  Entry.Id_ = Change.Id_;
  Entry.Service_ = ServiceName(Array.at(2).get<std::string>());
  Entry.Address_ = Endpoint{Array.at(3).get<std::string>(),
                            Array.at(4).get<std::uint16_t>()};
  Entry.Domain_ = FailureDomain(Array.at(5).get<std::string>());
  Entry.Slots_ = Array.at(6).get<std::uint32_t>();
  Entry.Leaving_ = Array.at(7).get<bool>();
  Entry.StartedUnixMs_ = Array.at(8).get<std::uint64_t>();
  Entry.ColdFor_ = Duration(Array.at(9).get<Duration::rep>());
  Change.Entry_ = Entry;
  return Change;
}

/// A limit that has ended is encoded as null.
Json toJson(const NamedRateLimit &Limit) {
  const Json PerSecond =
      Limit.PerSecond_ == NoRateLimit ? Json(nullptr) : Json(Limit.PerSecond_);
  return Json::array({Limit.Service_.str(), Limit.Target_.str(),
                      Limit.StartedUnixMs_, PerSecond, Limit.Age_.count()});
}

NamedRateLimit decodeRateLimit(const Json &Array) {
  const Json &PerSecond = Array.at(3);
  NamedRateLimit Limit{ServiceName(Array.at(0).get<std::string>()),
                       TargetId(Array.at(1).get<std::string>()),
                       Array.at(2).get<std::uint64_t>(),
                       PerSecond.is_null() ? NoRateLimit
                                           : PerSecond.get<double>(),
                       Duration(Array.at(4).get<Duration::rep>())};
  if (!(Limit.PerSecond_ >= 0) || Limit.Age_ < Duration::zero() ||
      Limit.Age_ > MaxRateLimitAge)
    throw std::out_of_range("rate limit of a target is out of range");
  return Limit;
}

Json toJson(const LeavingTarget &Target) {
  return Json::array({Target.Id_.str(), Target.StartedUnixMs_});
}

Json toJson(const TokenWish &Wish) {
  return Json::array({Wish.Key_, Wish.Needed_, Wish.Wanted_});
}

Json toJson(const TokenGrant &Grant) {
  return Json::array(
      {Grant.Key_, Grant.Tokens_, toMilliseconds(Grant.NextIn_)});
}

template <class Item> Json encodeList(const std::vector<Item> &Items) {
  Json List = Json::array();
  for (const Item &Element : Items)
    List.push_back(toJson(Element));
  return List;
}

Json encodeBody(const ProbeMessage &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::Probe),
                      toJson(Message.From_), Message.IsAnswer_,
                      Message.WantsAll_, Message.Digest_,
                      encodeList(Message.Members_)});
}

Json encodeBody(const StoreChangesMessage &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::Progress),
                      Message.From_.str(), Message.After_, Message.Revision_,
                      Message.ConfigRevision_, encodeList(Message.Targets_),
                      Message.Era_});
}

Json encodeBody(const EvidenceMessage &Message) {
  return Json::array(
      {FormatVersion, static_cast<int>(MessageKind::Evidence),
       Message.Service_.str(), Message.Target_.str(), Message.StartedUnixMs_,
       static_cast<int>(Message.Observation_), Message.Forward_});
}

Json encodeBody(const OutcomeCountsMessage &Message) {
  Json Services = Json::array();
  for (const std::pair<const ServiceName, RequestOutcomeCounts> &Entry :
       Message.Services_)
    Services.push_back(Json::array(
        {Entry.first.str(), Entry.second.Ended_, Entry.second.Unserved_}));
  return Json::array({FormatVersion,
                      static_cast<int>(MessageKind::OutcomeCounts),
                      Message.From_.str(), Services});
}

Json encodeBody(const RateLimitsMessage &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::RateLimits),
                      Message.Forward_, encodeList(Message.Limits_)});
}

Json encodeBody(const LeavingTargetsMessage &Message) {
  return Json::array({FormatVersion,
                      static_cast<int>(MessageKind::LeavingTargets),
                      Message.Forward_, encodeList(Message.Targets_)});
}

Json encodeBody(const LimitPartOffer &Message) {
  return Json::array(
      {FormatVersion, static_cast<int>(MessageKind::LimitPartOffer),
       Message.From_.str(), Message.Coordinator_, Message.Question_,
       Message.Divisor_, Message.IsWithdrawal_});
}

Json encodeBody(const LimitPartQuestion &Message) {
  return Json::array({FormatVersion,
                      static_cast<int>(MessageKind::LimitPartQuestion),
                      Message.From_.str(), Message.Incarnation_,
                      Message.Question_, Message.IsRelease_});
}

Json encodeBody(const TokenRequest &Message) {
  return Json::array({FormatVersion,
                      static_cast<int>(MessageKind::TokenRequest),
                      Message.From_.str(), Message.Incarnation_, Message.Id_,
                      encodeList(Message.Wishes_)});
}

Json encodeBody(const TokenAnswer &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::TokenAnswer),
                      Message.From_.str(), Message.Requester_, Message.Id_,
                      Message.HasShare_, encodeList(Message.Grants_)});
}

Json encodeBody(const ProofQuery &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::ProofQuery),
                      Message.Nonce_});
}

Json encodeBody(const ProofAnswer &Message) {
  return Json::array({FormatVersion, static_cast<int>(MessageKind::ProofAnswer),
                      Message.Nonce_, Message.Version_, Message.Age_.count()});
}

/// An unsigned number of one of these messages. Other types, which the library
/// would convert, are rejected.
std::uint64_t decodeUnsigned(const Json &Number) {
  if (!Number.is_number_unsigned())
    throw std::out_of_range("not an unsigned number");
  return Number.get<std::uint64_t>();
}

ProofAnswer decodeProofAnswer(const Json &Body) {
  const std::uint64_t Age = decodeUnsigned(Body.at(4));
  if (Age > static_cast<std::uint64_t>(MaxProofAge.count()))
    throw std::out_of_range("age of a proof is out of range");
  return ProofAnswer{decodeUnsigned(Body.at(2)), decodeUnsigned(Body.at(3)),
                     Duration(static_cast<Duration::rep>(Age))};
}

ProbeMessage decodeProbe(const Json &Body) {
  ProbeMessage Message;
  Message.From_ = decodeMember(Body.at(2));
  Message.IsAnswer_ = Body.at(3).get<bool>();
  Message.WantsAll_ = Body.at(4).get<bool>();
  Message.Digest_ = Body.at(5).get<std::uint64_t>();
  for (const Json &Host : Body.at(6))
    Message.Members_.push_back(decodeMember(Host));
  return Message;
}

StoreChangesMessage decodeProgress(const Json &Body) {
  StoreChangesMessage Message;
  Message.From_ = HostId(Body.at(2).get<std::string>());
  Message.After_ = Body.at(3).get<std::uint64_t>();
  Message.Revision_ = Body.at(4).get<std::uint64_t>();
  Message.ConfigRevision_ = Body.at(5).get<std::uint64_t>();
  for (const Json &Change : Body.at(6))
    Message.Targets_.push_back(decodeChange(Change));
  // Hosts of earlier releases send no era.
  constexpr std::size_t EraIndex = 7;
  if (Body.size() > EraIndex)
    Message.Era_ = Body.at(EraIndex).get<std::uint64_t>();
  return Message;
}

EvidenceMessage decodeEvidence(const Json &Body) {
  const int Evidence = Body.at(5).get<int>();
  if (Evidence < 0 || Evidence > static_cast<int>(TargetObservation::Gone))
    throw std::out_of_range("unknown kind of target evidence");
  return EvidenceMessage{
      ServiceName(Body.at(2).get<std::string>()),
      TargetId(Body.at(3).get<std::string>()), Body.at(4).get<std::uint64_t>(),
      static_cast<TargetObservation>(Evidence), Body.at(6).get<bool>()};
}

OutcomeCountsMessage decodeTally(const Json &Body) {
  OutcomeCountsMessage Message;
  Message.From_ = HostId(Body.at(2).get<std::string>());
  for (const Json &Entry : Body.at(3)) {
    const RequestOutcomeCounts Counts{Entry.at(1).get<double>(),
                                      Entry.at(2).get<double>()};
    if (!std::isfinite(Counts.Ended_) || !(Counts.Unserved_ >= 0) ||
        Counts.Unserved_ > Counts.Ended_)
      throw std::out_of_range("request counts of a service are out of range");
    Message.Services_[ServiceName(Entry.at(0).get<std::string>())] = Counts;
  }
  return Message;
}

RateLimitsMessage decodeRateLimits(const Json &Body) {
  RateLimitsMessage Message;
  Message.Forward_ = Body.at(2).get<bool>();
  for (const Json &Limit : Body.at(3))
    Message.Limits_.push_back(decodeRateLimit(Limit));
  return Message;
}

LeavingTargetsMessage decodeLeavingTargets(const Json &Body) {
  LeavingTargetsMessage Message;
  Message.Forward_ = Body.at(2).get<bool>();
  for (const Json &Target : Body.at(3))
    Message.Targets_.push_back(
        LeavingTarget{TargetId(Target.at(0).get<std::string>()),
                      decodeUnsigned(Target.at(1))});
  return Message;
}

LimitPartOffer decodePartOffer(const Json &Body) {
  return LimitPartOffer{
      HostId(Body.at(2).get<std::string>()), Body.at(3).get<std::uint64_t>(),
      Body.at(4).get<std::uint64_t>(), Body.at(5).get<std::uint32_t>(),
      Body.at(6).get<bool>()};
}

LimitPartQuestion decodePartQuestion(const Json &Body) {
  return LimitPartQuestion{
      HostId(Body.at(2).get<std::string>()), Body.at(3).get<std::uint64_t>(),
      Body.at(4).get<std::uint64_t>(), Body.at(5).get<bool>()};
}

std::uint32_t decodeTokens(const Json &Count) {
  const std::uint64_t Tokens = Count.get<std::uint64_t>();
  if (Tokens > MaxTokens)
    throw std::out_of_range("number of tokens is out of range");
  return static_cast<std::uint32_t>(Tokens);
}

TokenRequest decodeTokenRequest(const Json &Body) {
  TokenRequest Message{HostId(Body.at(2).get<std::string>()),
                       Body.at(3).get<std::uint64_t>(),
                       Body.at(4).get<std::uint64_t>(),
                       {}};
  for (const Json &Wish : Body.at(5))
    Message.Wishes_.push_back(TokenWish{Wish.at(0).get<std::uint64_t>(),
                                        decodeTokens(Wish.at(1)),
                                        decodeTokens(Wish.at(2))});
  return Message;
}

TokenAnswer decodeTokenAnswer(const Json &Body) {
  TokenAnswer Message{HostId(Body.at(2).get<std::string>()),
                      Body.at(3).get<std::uint64_t>(),
                      Body.at(4).get<std::uint64_t>(),
                      Body.at(5).get<bool>(),
                      {}};
  for (const Json &Grant : Body.at(6)) {
    const std::int64_t NextInMs = Grant.at(2).get<std::int64_t>();
    if (NextInMs < 0 || NextInMs > MaxNextTokenMs)
      throw std::out_of_range("time until the next token is out of range");
    Message.Grants_.push_back(TokenGrant{Grant.at(0).get<std::uint64_t>(),
                                         decodeTokens(Grant.at(1)),
                                         std::chrono::milliseconds(NextInMs)});
  }
  return Message;
}

} // namespace

std::string encodeDatagram(const PeerDatagram &Message) {
  const Json Body = std::visit(
      [](const auto &Alternative) { return encodeBody(Alternative); }, Message);
  std::string Bytes;
  Json::to_cbor(Body, Bytes);
  return Bytes;
}

Result<PeerDatagram> decodeDatagram(const std::string &Bytes) {
  try {
    const Json Body = Json::from_cbor(Bytes);
    if (Body.at(0).get<int>() != FormatVersion)
      return fail(ResultCode::PeerVersionUnknown,
                  "unknown datagram format version");
    switch (static_cast<MessageKind>(Body.at(1).get<int>())) {
    case MessageKind::Probe:
      return PeerDatagram(decodeProbe(Body));
    case MessageKind::Progress:
      return PeerDatagram(decodeProgress(Body));
    case MessageKind::Evidence:
      return PeerDatagram(decodeEvidence(Body));
    case MessageKind::OutcomeCounts:
      return PeerDatagram(decodeTally(Body));
    case MessageKind::RateLimits:
      return PeerDatagram(decodeRateLimits(Body));
    case MessageKind::LimitPartOffer:
      return PeerDatagram(decodePartOffer(Body));
    case MessageKind::LimitPartQuestion:
      return PeerDatagram(decodePartQuestion(Body));
    case MessageKind::TokenRequest:
      return PeerDatagram(decodeTokenRequest(Body));
    case MessageKind::TokenAnswer:
      return PeerDatagram(decodeTokenAnswer(Body));
    case MessageKind::ProofQuery:
      return PeerDatagram(ProofQuery{decodeUnsigned(Body.at(2))});
    case MessageKind::ProofAnswer:
      return PeerDatagram(decodeProofAnswer(Body));
    case MessageKind::LeavingTargets:
      return PeerDatagram(decodeLeavingTargets(Body));
    }
  } catch (const std::exception &Error) {
    return fail(ResultCode::PeerMessageMalformed, Error.what());
  }
  return fail(ResultCode::PeerMessageMalformed, "unknown datagram kind");
}

std::optional<LimitMessage> limitMessageOf(const PeerDatagram &Datagram) {
  if (const LimitPartOffer *Offer = std::get_if<LimitPartOffer>(&Datagram))
    return *Offer;
  if (const LimitPartQuestion *Question =
          std::get_if<LimitPartQuestion>(&Datagram))
    return *Question;
  if (const TokenRequest *Request = std::get_if<TokenRequest>(&Datagram))
    return *Request;
  if (const TokenAnswer *Answer = std::get_if<TokenAnswer>(&Datagram))
    return *Answer;
  return std::nullopt;
}

/// Divides `Items` among messages with at most `MaxItems` in their `List`.
template <class Message, class Item>
static std::vector<Message> split(const std::vector<Item> &Items,
                                  std::vector<Item> Message::*List,
                                  std::size_t MaxItems) {
  std::vector<Message> Parts;
  for (const Item &Element : Items) {
    if (Parts.empty() || (Parts.back().*List).size() == MaxItems)
      Parts.emplace_back();
    (Parts.back().*List).push_back(Element);
  }
  return Parts;
}

std::vector<RateLimitsMessage>
splitRateLimits(const std::vector<NamedRateLimit> &Limits) {
  // A limit takes about 80 bytes.
  constexpr std::size_t MaxLimits = 12;
  return split(Limits, &RateLimitsMessage::Limits_, MaxLimits);
}

std::vector<LeavingTargetsMessage>
splitLeavingTargets(const std::vector<LeavingTarget> &Targets) {
  // A target takes about 30 bytes, one with a long id up to 220.
  constexpr std::size_t MaxTargets = 5;
  return split(Targets, &LeavingTargetsMessage::Targets_, MaxTargets);
}

/// At least the number of bytes that a change takes in a datagram.
static std::size_t encodedBytes(const TargetChange &Change) {
  constexpr std::size_t NumberBytes = 70;
  const std::size_t IdBytes = Change.Id_.str().size() + NumberBytes;
  return !Change.Entry_ ? IdBytes
                        : IdBytes + Change.Entry_->Service_.str().size() +
                              Change.Entry_->Domain_.str().size() +
                              Change.Entry_->Address_.Address_.size();
}

std::vector<StoreChangesMessage>
splitStoreChanges(const StoreChangesMessage &Message) {
  // Leaves room for the head of the message in a packet of 1,500 bytes. A
  // change takes about 110 bytes, one with long names up to 700.
  constexpr std::size_t MaxChangeBytes = 1'200;
  std::vector<StoreChangesMessage> Parts;
  std::size_t Next = 0;
  do {
    StoreChangesMessage Part = Message;
    Part.Targets_.clear();
    std::size_t Bytes = 0;
    for (; Next < Message.Targets_.size(); ++Next) {
      Bytes += encodedBytes(Message.Targets_[Next]);
      if (Bytes > MaxChangeBytes && !Part.Targets_.empty())
        break;
      Part.Targets_.push_back(Message.Targets_[Next]);
    }
    // Changes are ordered by revision, so the last change of a part gives the
    // revision up to which the part is complete.
    if (!Parts.empty())
      Part.After_ = Parts.back().Revision_;
    if (Next < Message.Targets_.size())
      Part.Revision_ = Part.Targets_.back().Revision_;
    Parts.push_back(std::move(Part));
  } while (Next < Message.Targets_.size());
  return Parts;
}

} // namespace kumquatpitch
