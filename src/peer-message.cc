// Codec of messages between hosts. See peer-message.h. A message is a map with
// keys of one letter, and its body is a positional array: this keeps heartbeats
// and digests small, which are the larger part of the control traffic.

#include "kumquatpitch/peer-message.h"

#include "kumquatpitch/cbor-reader.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Limits of values in messages; a message with a larger value is malformed.
constexpr std::uint64_t MaxScoreMilli = 1'000'000;
constexpr std::uint64_t MaxPermits = 1'000'000;
constexpr std::uint64_t MaxQuotaUnits = 1'000'000 * QuotaUnitsPerRequest;

using detail::CborReader;
using nlohmann::json;

constexpr std::size_t MaxTableEntries = 20'000;
constexpr std::size_t MaxKeyBytes = 80;
constexpr std::size_t MaxAddressBytes = 45;
constexpr std::size_t MaxCustomersOfHost = 10'000;
constexpr std::uint64_t MaxPort = 65'535;

constexpr std::size_t TableVersionElements = 3;
constexpr std::size_t ManifestPartElements = 4;
constexpr std::size_t HostRecordElements = 8;
constexpr std::size_t DeltaElements = 4;

// Table versions.

json toCbor(const TableVersion &Value) {
  return {Value.Version_, Value.Digest_.High_, Value.Digest_.Low_};
}

TableVersion readVersion(CborReader &Reader) {
  TableVersion Decoded;
  Reader.nested(TableVersionElements, [&](CborReader &Nested) {
    Decoded.Version_ = Nested.number();
    Decoded.Digest_.High_ = Nested.number();
    Decoded.Digest_.Low_ = Nested.number();
  });
  return Decoded;
}

ConfigState readConfig(CborReader &Reader) {
  ConfigState Decoded;
  Decoded.Manifest_ = readVersion(Reader);
  Decoded.Hosts_ = readVersion(Reader);
  return Decoded;
}

// Table entries.

json toCbor(const ManifestPart &Part) {
  return {Part.Name_, Part.Version_, detail::hashToCbor(Part.Hash_),
          Part.Bytes_};
}

bool isPartName(std::string_view Text) {
  for (const std::string_view Kind : {"contract/", "service/"})
    if (Text.substr(0, Kind.size()) == Kind)
      return isValidName(Text.substr(Kind.size()));
  return false;
}

std::string readPartName(CborReader &Reader) {
  std::string Decoded = Reader.text(MaxKeyBytes);
  if (!isPartName(Decoded))
    Reader.reject("must be contract/NAME or service/NAME");
  return Decoded;
}

void readEntry(CborReader &Reader, ManifestPart &Decoded) {
  Decoded.Name_ = readPartName(Reader);
  Decoded.Version_ = Reader.number();
  Decoded.Hash_ = Reader.hash();
  Decoded.Bytes_ = Reader.number(MaxDocumentBytes);
}

json toCbor(const HostRecord &Host) {
  json Ports = json::array();
  for (const std::pair<const CustomerName, std::uint16_t> &CustomerPort :
       Host.CustomerPorts_)
    Ports.push_back(
        json::array({CustomerPort.first.str(), CustomerPort.second}));
  return json::array({Host.Id_.str(), Host.Region_.str(), Host.Domain_.str(),
                      Host.Address_, Host.PeerPort_, Host.OperatorPort_,
                      std::move(Ports), Host.State_ == HostState::Leaving});
}

void readEntry(CborReader &Reader, HostRecord &Decoded) {
  Decoded.Id_ = Reader.name<HostTag>();
  Decoded.Region_ = Reader.name<RegionTag>();
  Decoded.Domain_ = Reader.name<FailureDomainTag>();
  Decoded.Address_ = Reader.text(MaxAddressBytes);
  Decoded.PeerPort_ = static_cast<std::uint16_t>(Reader.number(MaxPort));
  Decoded.OperatorPort_ = static_cast<std::uint16_t>(Reader.number(MaxPort));
  Reader.arrays(MaxCustomersOfHost, 2, [&](CborReader &Element) {
    const CustomerName Customer = Element.name<CustomerTag>();
    const std::uint64_t Port = Element.number(MaxPort);
    Decoded.CustomerPorts_[Customer] = static_cast<std::uint16_t>(Port);
  });
  Decoded.State_ = Reader.boolean() ? HostState::Leaving : HostState::Live;
}

template <class Entry>
constexpr std::size_t EntryElements =
    std::is_same_v<Entry, ManifestPart> ? ManifestPartElements
                                        : HostRecordElements;

template <class Entry> json toCbor(const TableDelta<Entry> &Delta) {
  json Changed = json::array();
  for (const Entry &ChangedEntry : Delta.Changed_)
    Changed.push_back(toCbor(ChangedEntry));
  return json::array({toCbor(Delta.From_), toCbor(Delta.To_),
                      std::move(Changed), Delta.Removed_});
}

template <class Entry> TableDelta<Entry> readDelta(CborReader &Reader) {
  TableDelta<Entry> Decoded;
  Decoded.From_ = readVersion(Reader);
  Decoded.To_ = readVersion(Reader);
  Reader.arrays(MaxTableEntries, EntryElements<Entry>,
                [&](CborReader &Element) {
                  Decoded.Changed_.emplace_back();
                  readEntry(Element, Decoded.Changed_.back());
                });
  Reader.texts(MaxTableEntries, MaxKeyBytes, [&](std::string Key) {
    Decoded.Removed_.push_back(std::move(Key));
  });
  return Decoded;
}

// Message bodies. Each kind has a fixed number of elements.

json toCbor(const HeartbeatMessage &Body) {
  json AlivePeers = json::array();
  for (const HostId &Peer : Body.AlivePeers_)
    AlivePeers.push_back(Peer.str());
  return json::array({Body.Epoch_, Body.Leaving_, std::move(AlivePeers),
                      toCbor(Body.Config_.Manifest_),
                      toCbor(Body.Config_.Hosts_)});
}

HeartbeatMessage readHeartbeat(CborReader &Reader) {
  HeartbeatMessage Decoded;
  Decoded.Epoch_ = Reader.number();
  Decoded.Leaving_ = Reader.boolean();
  Reader.texts(MaxAlivePeers, MaxNameBytes, [&](std::string Peer) {
    if (!isValidName(Peer))
      Reader.reject("must be valid names");
    Decoded.AlivePeers_.emplace_back(std::move(Peer));
  });
  Decoded.Config_ = readConfig(Reader);
  return Decoded;
}

json toCbor(const DigestMessage &Body) {
  json Heartbeats = json::array();
  for (const ReaderHeartbeat &Heartbeat : Body.ReaderHeartbeats_)
    Heartbeats.push_back(json::array(
        {Heartbeat.Reader_.str(), Heartbeat.Domain_.str(), Heartbeat.Count_}));
  json Contacts = json::array();
  for (const PeerContact &Contact : Body.Contacts_)
    Contacts.push_back(
        json::array({Contact.Id_.str(), Contact.Domain_.str(),
                     Contact.Address_.Address_, Contact.Address_.Port_}));
  return json::array({toCbor(Body.Config_.Manifest_),
                      toCbor(Body.Config_.Hosts_), Body.IsReply_,
                      std::move(Heartbeats), std::move(Contacts)});
}

DigestMessage readDigest(CborReader &Reader) {
  constexpr std::size_t HeartbeatElements = 3;
  constexpr std::size_t ContactElements = 4;
  DigestMessage Decoded;
  Decoded.Config_ = readConfig(Reader);
  Decoded.IsReply_ = Reader.boolean();
  Reader.arrays(MaxReaderHeartbeats, HeartbeatElements,
                [&](CborReader &Element) {
                  ReaderHeartbeat Heartbeat;
                  Heartbeat.Reader_ = Element.name<HostTag>();
                  Heartbeat.Domain_ = Element.name<FailureDomainTag>();
                  Heartbeat.Count_ = Element.number();
                  Decoded.ReaderHeartbeats_.push_back(std::move(Heartbeat));
                });
  Reader.arrays(MaxContacts, ContactElements, [&](CborReader &Element) {
    PeerContact Contact;
    Contact.Id_ = Element.name<HostTag>();
    Contact.Domain_ = Element.name<FailureDomainTag>();
    Contact.Address_.Address_ = Element.text(MaxAddressBytes);
    Contact.Address_.Port_ =
        static_cast<std::uint16_t>(Element.number(MaxPort));
    Decoded.Contacts_.push_back(std::move(Contact));
  });
  return Decoded;
}

json toCbor(const PullMessage &Body) {
  return json::array({static_cast<unsigned>(Body.Kind_),
                      toCbor(Body.HeldVersion_), Body.Name_,
                      detail::hashToCbor(Body.Hash_)});
}

PullMessage readPull(CborReader &Reader) {
  PullMessage Decoded;
  Decoded.Kind_ = static_cast<PullKind>(
      Reader.number(static_cast<unsigned>(PullKind::Document)));
  Decoded.HeldVersion_ = readVersion(Reader);
  if (Decoded.Kind_ == PullKind::Document) {
    Decoded.Name_ = readPartName(Reader);
    Decoded.Hash_ = Reader.hash();
  } else if (!Reader.text(0).empty() || !Reader.bytes(0).empty()) {
    Reader.reject("must be empty unless a document is pulled");
  }
  return Decoded;
}

json toCbor(const DocumentBody &Body) {
  return json::array({Body.Name_, detail::hashToCbor(Body.Hash_), Body.Absent_,
                      detail::bytesToCbor(Body.Bytes_)});
}

DocumentBody readDocument(CborReader &Reader) {
  DocumentBody Decoded;
  Decoded.Name_ = readPartName(Reader);
  Decoded.Hash_ = Reader.hash();
  Decoded.Absent_ = Reader.boolean();
  Decoded.Bytes_ = Reader.bytes(MaxDocumentBytes);
  return Decoded;
}

json toCbor(const PartMessage &Body) {
  return json::array(
      {Body.Content_.index(),
       std::visit([](const auto &Content) { return toCbor(Content); },
                  Body.Content_)});
}

PartMessage readPart(CborReader &Reader) {
  PartMessage Decoded;
  const std::uint64_t Kind = Reader.number(2);
  Reader.nested(DeltaElements, [&](CborReader &Nested) {
    if (Kind == 0)
      Decoded.Content_ = readDelta<ManifestPart>(Nested);
    else if (Kind == 1)
      Decoded.Content_ = readDelta<HostRecord>(Nested);
    else
      Decoded.Content_ = readDocument(Nested);
  });
  return Decoded;
}

json toCbor(const ReportMessage &Body) {
  const bool HasAnsweredStart = Body.SinceAnsweredStart_.has_value();
  return json::array({Body.Service_.str(), Body.Target_.str(), Body.ScoreMilli_,
                      Body.Suspects_, HasAnsweredStart,
                      Body.SinceAnsweredStart_.value_or(Duration()).count(),
                      Body.Draining_});
}

ReportMessage readReport(CborReader &Reader) {
  ReportMessage Decoded;
  Decoded.Service_ = Reader.name<ServiceTag>();
  Decoded.Target_ = Reader.name<TargetTag>();
  Decoded.ScoreMilli_ = Reader.number(MaxScoreMilli);
  Decoded.Suspects_ = Reader.boolean();
  const bool HasAnsweredStart = Reader.boolean();
  const Duration Since(static_cast<Duration::rep>(Reader.number(INT64_MAX)));
  if (HasAnsweredStart)
    Decoded.SinceAnsweredStart_ = Since;
  Decoded.Draining_ = Reader.boolean();
  return Decoded;
}

json toCbor(const QuotaLoanRequestMessage &Body) {
  const QuotaLoanRequest &Request = Body.LoanRequest_;
  return json::array({Body.Service_.str(), Request.Id_, Request.Borrower_,
                      Request.LastCredited_, Request.Rate_,
                      Request.HeldPermits_, Request.Permits_});
}

QuotaLoanRequestMessage readLoanRequest(CborReader &Reader) {
  QuotaLoanRequestMessage Decoded;
  Decoded.Service_ = Reader.name<ServiceTag>();
  Decoded.LoanRequest_.Id_ = Reader.number();
  Decoded.LoanRequest_.Borrower_ = Reader.number();
  Decoded.LoanRequest_.LastCredited_ = Reader.number();
  Decoded.LoanRequest_.Rate_ =
      static_cast<std::int64_t>(Reader.number(MaxQuotaUnits));
  Decoded.LoanRequest_.HeldPermits_ =
      static_cast<std::uint32_t>(Reader.number(MaxPermits));
  Decoded.LoanRequest_.Permits_ =
      static_cast<std::uint32_t>(Reader.number(MaxPermits));
  return Decoded;
}

json toCbor(const QuotaGrantMessage &Body) {
  const QuotaGrant &Grant = Body.Grant_;
  return json::array({Body.Service_.str(), Grant.LoanRequestId_,
                      Grant.Borrower_, Grant.Lender_, Grant.Rate_,
                      Grant.Permits_});
}

QuotaGrantMessage readGrant(CborReader &Reader) {
  QuotaGrantMessage Decoded;
  Decoded.Service_ = Reader.name<ServiceTag>();
  Decoded.Grant_.LoanRequestId_ = Reader.number();
  Decoded.Grant_.Borrower_ = Reader.number();
  Decoded.Grant_.Lender_ = Reader.number();
  Decoded.Grant_.Rate_ =
      static_cast<std::int64_t>(Reader.number(MaxQuotaUnits));
  Decoded.Grant_.Permits_ =
      static_cast<std::uint32_t>(Reader.number(MaxPermits));
  return Decoded;
}

/// Name, number of elements and decoder of a message kind. BodyKinds has them
/// in the order of PeerBody's alternatives, whose index is the kind in a
/// message.
struct BodyKind {
  const char *Name_;
  std::size_t ElementCount_;
  PeerBody (*Decode_)(CborReader &);
};

const std::array<BodyKind, std::variant_size_v<PeerBody>> BodyKinds = {{
    {"heartbeat", 5,
     [](CborReader &Reader) -> PeerBody { return readHeartbeat(Reader); }},
    {"digest", 5,
     [](CborReader &Reader) -> PeerBody { return readDigest(Reader); }},
    {"pull", 4,
     [](CborReader &Reader) -> PeerBody { return readPull(Reader); }},
    {"part", 2,
     [](CborReader &Reader) -> PeerBody { return readPart(Reader); }},
    {"report", 7,
     [](CborReader &Reader) -> PeerBody { return readReport(Reader); }},
    {"quota-ask", 7,
     [](CborReader &Reader) -> PeerBody { return readLoanRequest(Reader); }},
    {"quota-grant", 6,
     [](CborReader &Reader) -> PeerBody { return readGrant(Reader); }},
}};

constexpr std::size_t PartIndex = 3;

boost::leaf::error_id malformed(const std::string &Problem) {
  return fail(ResultCode::PeerMessageMalformed, Problem);
}

template <class Entry> ContentDigest hashEntry(const Entry &Value) {
  const std::vector<std::uint8_t> Bytes = json::to_cbor(toCbor(Value));
  const XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  return ContentDigest{Hash.high64, Hash.low64};
}

/// A hash that a message carries in place of its receiver's id, since the
/// receiver only has to recognize its own id and ids are the larger part of
/// small messages. 0 when the receiver's id is not known.
std::uint64_t receiverTag(const HostId &Receiver) {
  if (Receiver.empty())
    return 0;
  constexpr std::uint64_t TagMask = 0xffff'ffff;
  return std::max<std::uint64_t>(
      1, XXH3_64bits(Receiver.str().data(), Receiver.str().size()) & TagMask);
}

/// Decodes the header: sender, incarnation, receiver and sequence.
PeerMessage readHeader(CborReader &Reader, const HostId &Self) {
  PeerMessage Decoded;
  Decoded.From_ = Reader.name<HostTag>();
  Decoded.Incarnation_ = Reader.number();
  if (Decoded.Incarnation_ == 0)
    Reader.reject("incarnation must not be 0");
  const std::uint64_t To = Reader.number();
  if (To != 0 && To != receiverTag(Self))
    Reader.reject("message is addressed to another host");
  if (To != 0)
    Decoded.To_ = Self;
  Decoded.Sequence_ = Reader.number();
  return Decoded;
}

} // namespace

ContentDigest entryDigest(const ManifestPart &Entry) {
  return hashEntry(Entry);
}

ContentDigest entryDigest(const HostRecord &Entry) { return hashEntry(Entry); }

std::string encodePeerMessage(const PeerMessage &Message) {
  const json Encoded = {
      {"v", PeerProtocolVersion},
      {"h", json::array({Message.From_.str(), Message.Incarnation_,
                         receiverTag(Message.To_), Message.Sequence_})},
      {"k", Message.Body_.index()},
      {"b", std::visit([](const auto &Body) { return toCbor(Body); },
                       Message.Body_)}};
  std::string Bytes;
  json::to_cbor(Encoded, Bytes);
  return Bytes;
}

Result<PeerMessage> decodePeerMessage(std::string_view Bytes,
                                      const HostId &Self) {
  if (Bytes.size() > MaxPartMessageBytes)
    return fail(ResultCode::PeerMessageTooLarge,
                std::to_string(Bytes.size()) + " bytes");
  BOOST_LEAF_AUTO(Parsed, detail::parseCborMap(Bytes));
  const json::const_iterator Version = Parsed.find("v");
  if (Version == Parsed.end() || !Version->is_number_unsigned())
    return malformed("field v must be the protocol version");
  if (Version->get<std::uint64_t>() != PeerProtocolVersion)
    return fail(ResultCode::PeerVersionUnknown,
                "protocol version " + Version->dump() + " is not supported");
  constexpr std::size_t FieldCount = 4;
  if (Parsed.size() != FieldCount || !Parsed.contains("h") ||
      !Parsed.contains("k") || !Parsed.contains("b"))
    return malformed("the fields must be v, h, k and b");
  const json &Kind = Parsed["k"];
  if (!Kind.is_number_unsigned() ||
      Kind.get<std::uint64_t>() >= BodyKinds.size())
    return malformed("unknown message kind");
  const std::size_t Index = Kind.get<std::size_t>();
  if (Index != PartIndex && Bytes.size() > MaxPeerMessageBytes)
    return fail(ResultCode::PeerMessageTooLarge,
                std::string(BodyKinds[Index].Name_) + " of " +
                    std::to_string(Bytes.size()) + " bytes");
  std::string Problem;
  CborReader Header(Parsed["h"], 4, "header", Problem);
  PeerMessage Decoded = readHeader(Header, Self);
  CborReader Body(Parsed["b"], BodyKinds[Index].ElementCount_,
                  BodyKinds[Index].Name_, Problem);
  Decoded.Body_ = BodyKinds[Index].Decode_(Body);
  if (!Problem.empty())
    return malformed(Problem);
  return Decoded;
}

} // namespace kumquatpitch
