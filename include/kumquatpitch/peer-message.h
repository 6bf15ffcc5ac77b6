// Value types of the messages between hosts, and their CBOR codec. HostCore
// decodes and dispatches all messages; no other component parses their bytes.

#ifndef KUMQUATPITCH_PEER_MESSAGE_H
#define KUMQUATPITCH_PEER_MESSAGE_H

#include "kumquatpitch/contract.h"
#include "kumquatpitch/host-list.h"
#include "kumquatpitch/manifest.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/quota-share.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatpitch {

constexpr std::uint64_t PeerProtocolVersion = 2;

/// Size limit of all messages but PartMessage, and of PartMessage.
constexpr std::size_t MaxPeerMessageBytes = 65'536;
constexpr std::size_t MaxPartMessageBytes = MaxDocumentBytes + 4'096;

/// 128-bit digest of a table's content.
struct ContentDigest {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  std::strong_ordering operator<=>(const ContentDigest &) const = default;
};

/// A version of the manifest or of the host list. The greater one wins,
/// compared by version and then by digest, so that all hosts converge on the
/// same one.
struct TableVersion {
  std::uint64_t Version_ = 0; ///< 0: the host has no table.
  ContentDigest Digest_;

  std::strong_ordering operator<=>(const TableVersion &) const = default;
};

/// Versions of both tables that a host has.
struct ConfigState {
  TableVersion Manifest_;
  TableVersion Hosts_;

  bool operator==(const ConfigState &) const = default;
};

/// Shows that the sender is alive, and lists the peers whose heartbeats it
/// receives.
struct HeartbeatMessage {
  std::uint64_t Epoch_ = 0;
  bool Leaving_ = false;
  std::vector<HostId> AlivePeers_; ///< At most MaxAlivePeers.
  ConfigState Config_;

  bool operator==(const HeartbeatMessage &) const = default;
};

/// Heartbeat of a host that reads the platform: a count that it increments each
/// second. Hosts relay it, so that all of them know which readers are running.
struct ReaderHeartbeat {
  HostId Reader_;
  FailureDomain Domain_;
  std::uint64_t Count_ = 0;

  bool operator==(const ReaderHeartbeat &) const = default;
};

/// Address of a host that may not be on the host list yet.
struct PeerContact {
  HostId Id_;
  FailureDomain Domain_;
  Endpoint Address_;

  bool operator==(const PeerContact &) const = default;
};

/// Versions that the sender has, so that the host that lags behind can pull the
/// difference.
struct DigestMessage {
  ConfigState Config_;
  bool IsReply_ = false; ///< Replies are not answered.
  std::vector<ReaderHeartbeat>
      ReaderHeartbeats_;              ///< At most MaxReaderHeartbeats.
  std::vector<PeerContact> Contacts_; ///< At most MaxContacts, sender first.

  bool operator==(const DigestMessage &) const = default;
};

enum class PullKind : std::uint8_t { Manifest, Hosts, Document };

/// Requests the changes of a table since a version, or a document.
struct PullMessage {
  PullKind Kind_ = PullKind::Manifest;
  TableVersion HeldVersion_; ///< Version 0 requests the whole table.
  std::string Name_;         ///< Of a document, such as `contract/imigongo`.
  std::string Hash_;         ///< Of a document, 32 hexadecimal digits.

  bool operator==(const PullMessage &) const = default;
};

/// Entries of a table that may differ from version `From_`. Entries are whole
/// values, so a delta may also contain entries that did not change.
template <class Entry> struct TableDelta {
  TableVersion From_; ///< Version 0: the delta is the whole table.
  TableVersion To_;
  std::vector<Entry> Changed_;
  std::vector<std::string> Removed_; ///< Keys.

  bool operator==(const TableDelta &) const = default;
};

using ManifestDelta = TableDelta<ManifestPart>;
using HostsDelta = TableDelta<HostRecord>;

/// A document's bytes, or the statement that the sender does not have it.
struct DocumentBody {
  std::string Name_;
  std::string Hash_;
  bool Absent_ = false;
  std::string Bytes_;

  bool operator==(const DocumentBody &) const = default;
};

/// The answer to a PullMessage.
struct PartMessage {
  std::variant<ManifestDelta, HostsDelta, DocumentBody> Content_;

  bool operator==(const PartMessage &) const = default;
};

/// Evidence about a target. The receiver uses it only in addition to its own.
struct ReportMessage {
  ServiceName Service_;
  TargetId Target_;
  std::uint64_t ScoreMilli_ = 0; ///< Sender's own score, in thousandths.
  bool Suspects_ = false;        ///< Requests the receiver's evidence.
  std::optional<Duration> SinceAnsweredStart_; ///< See TargetEvidence.
  bool Draining_ = false;                      ///< The target is draining.

  bool operator==(const ReportMessage &) const = default;
};

struct QuotaLoanRequestMessage {
  ServiceName Service_;
  QuotaLoanRequest LoanRequest_;

  bool operator==(const QuotaLoanRequestMessage &) const = default;
};

struct QuotaGrantMessage {
  ServiceName Service_;
  QuotaGrant Grant_;

  bool operator==(const QuotaGrantMessage &) const = default;
};

using PeerBody =
    std::variant<HeartbeatMessage, DigestMessage, PullMessage, PartMessage,
                 ReportMessage, QuotaLoanRequestMessage, QuotaGrantMessage>;

struct PeerMessage {
  HostId From_;
  Incarnation Incarnation_ = 0; ///< Of the sender.
  HostId To_; ///< Empty when the sender knows only the address.
  std::uint64_t Sequence_ = 0; ///< Increases within an incarnation.
  PeerBody Body_;

  bool operator==(const PeerMessage &) const = default;
};

constexpr std::size_t MaxAlivePeers = 128;
constexpr std::size_t MaxReaderHeartbeats = 64;
constexpr std::size_t MaxContacts = 8;

/// Encodes a message as CBOR. Equal messages have equal bytes.
std::string encodePeerMessage(const PeerMessage &Message);

/// Decodes a message that arrived at the host `Self`. Fails with
/// PeerMessageTooLarge, PeerVersionUnknown or PeerMessageMalformed; the error
/// message names the field.
Result<PeerMessage> decodePeerMessage(std::string_view Bytes,
                                      const HostId &Self);

/// Digest of one table entry. A table's digest is the sum of its entries'
/// digests.
ContentDigest entryDigest(const ManifestPart &Entry);
ContentDigest entryDigest(const HostRecord &Entry);

} // namespace kumquatpitch

#endif
