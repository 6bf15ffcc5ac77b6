// Store of the configuration documents (contracts and service entries) that
// this host serves or relays, and the catalog built from them. Owned by
// ConfigSync.

#ifndef KUMQUATPITCH_DOCUMENT_STORE_H
#define KUMQUATPITCH_DOCUMENT_STORE_H

#include "kumquatpitch/catalog.h"
#include "kumquatpitch/versioned-table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Identifies one revision of a document that a manifest lists.
struct DocumentId {
  std::string Name_;
  std::string Hash_;

  std::strong_ordering operator<=>(const DocumentId &) const = default;
};

/// Why a document is not in force. The last valid one stays in force.
struct Refusal {
  std::string Document_; ///< `manifest`, `hosts` or a document's name.
  std::uint64_t ManifestVersion_ = 0; ///< Manifest version that listed it.
  ResultCode Code_ = ResultCode::DocumentInvalid;
  std::string Message_; ///< Names the document and the field.

  bool operator==(const Refusal &) const = default;
};

/// A customer's documents take effect together; if one is missing or invalid,
/// the customer's last valid configuration stays in force.
class DocumentStore {
public:
  /// `Customers` are those that this host serves.
  explicit DocumentStore(std::vector<CustomerName> Customers)
      : Customers_(std::move(Customers)) {}

  /// Replaces the manifest and drops documents that it does not list.
  void setManifest(const VersionedTable<ManifestPart> &Manifest);

  /// Stores a document. False when the bytes do not match its hash or the
  /// manifest does not list it.
  bool put(const DocumentId &Id, std::string Bytes);

  /// Bytes of a document, or null when it is not held.
  std::shared_ptr<const std::string> find(const DocumentId &Id) const;

  /// Documents that are needed but not held, with the customer they belong to.
  /// Updated by rebuild() and put().
  const std::map<DocumentId, CustomerName> &missing() const { return Missing_; }

  /// Puts each customer's documents into force if they are complete and valid.
  /// True when the catalog changed. The cost grows with the number of services,
  /// so call it once after a batch of changes, not after each put().
  bool rebuild();

  /// Configuration in force; never null. Its version is the last manifest
  /// version of which no needed document was missing.
  const std::shared_ptr<const Catalog> &catalog() const { return Catalog_; }

  /// Refused documents and the reason, by customer.
  const std::map<CustomerName, Refusal> &refusals() const { return Refusals_; }

  /// Total size of the documents held.
  std::size_t heldBytes() const { return HeldBytes_; }

private:
  struct HeldDocument {
    std::string Hash_;
    std::shared_ptr<const std::string> Bytes_;
  };

  /// The result of parsing a document: a contract, a service entry or a
  /// failure.
  struct ParsedDocument {
    std::string Hash_;
    std::shared_ptr<const Contract> Contract_;
    std::shared_ptr<const ServiceEntry> Entry_;
    std::optional<Failure> Failure_;
  };

  /// Parses a document, or returns the cached result. Adds it to `Missing_` and
  /// returns null when its bytes are not held.
  const ParsedDocument *parseCached(const ManifestPart &Part,
                                    const CustomerName &Customer);
  /// Returns true when the customer's configuration in force changed.
  bool updateCustomer(const CustomerName &Customer);
  /// Records why the customer's new documents are not in force. Returns false,
  /// since the configuration in force did not change.
  bool refuse(const CustomerName &Customer, const std::string &Document,
              const Failure &Cause);
  void dropUnlisted();

  std::vector<CustomerName> Customers_;
  VersionedTable<ManifestPart> Manifest_;
  /// By document name; each has the hash that the manifest gives it.
  std::map<std::string, HeldDocument> HeldDocuments_;
  std::size_t HeldBytes_ = 0;
  std::map<std::string, ParsedDocument> ParsedDocuments_;
  std::map<DocumentId, CustomerName> Missing_;
  /// Concatenated hashes of the customer's documents in force.
  std::map<CustomerName, std::string> InForceHashes_;
  std::map<CustomerName, Refusal> Refusals_;
  std::shared_ptr<const Catalog> Catalog_ = std::make_shared<const Catalog>();
  std::map<CustomerName, CustomerConfig> CustomerConfigs_;
};

} // namespace kumquatpitch

#endif
