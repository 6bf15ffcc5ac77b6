// Contracts and service entries that this host serves or relays, and the
// catalog made of them. Owned by ConfigSync.

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

/// A document of the manifest.
struct DocumentId {
  std::string Name_;
  std::string Hash_;

  std::strong_ordering operator<=>(const DocumentId &) const = default;
};

/// Why a document is not in force. The last good one stays.
struct Refusal {
  std::string Document_;              ///< `manifest`, `hosts` or a part's name.
  std::uint64_t ManifestVersion_ = 0; ///< Version that named it.
  ResultCode Code_ = ResultCode::DocumentInvalid;
  std::string Message_; ///< Names the document and the field.

  bool operator==(const Refusal &) const = default;
};

/// A customer's documents come into force together, or the last good ones stay.
class DocumentStore {
public:
  /// `Customers` are those that this host serves.
  explicit DocumentStore(std::vector<CustomerName> Customers)
      : Customers_(std::move(Customers)) {}

  /// Takes a newer manifest.
  void setManifest(const VersionedTable<ManifestPart> &Manifest);

  /// Takes a document's bytes. False when they do not have its hash, or the
  /// manifest does not name it.
  bool put(const DocumentId &Id, std::string Bytes);

  /// Bytes of a document, or null.
  std::shared_ptr<const std::string> find(const DocumentId &Id) const;

  /// Needed documents that are not held, with their customer.
  const std::map<DocumentId, CustomerName> &missing() const { return Missing_; }

  /// Takes into force what is complete. Called after changes, not for each put:
  /// the cost grows with the count of services. True when the catalog changed.
  bool rebuild();

  /// Configuration in force; never null. Its version is the last manifest
  /// version for which each customer was settled.
  const std::shared_ptr<const Catalog> &catalog() const { return Catalog_; }

  /// Reasons for the documents that are not in force, by customer.
  const std::map<CustomerName, Refusal> &refusals() const { return Refusals_; }

  /// Bytes of the documents held.
  std::size_t heldBytes() const { return HeldBytes_; }

private:
  struct Held {
    std::string Hash_;
    std::shared_ptr<const std::string> Bytes_;
  };

  /// A parsed document; one of the three is set.
  struct Parsed {
    std::string Hash_;
    std::shared_ptr<const Contract> Contract_;
    std::shared_ptr<const ServiceEntry> Entry_;
    std::optional<Failure> Failure_;
  };

  /// Null when the bytes are missing, which is noted.
  const Parsed *parsed(const ManifestPart &Part, const CustomerName &Customer);
  bool settle(const CustomerName &Customer);
  bool refuse(const CustomerName &Customer, const std::string &Document,
              const Failure &Cause);
  void dropUnnamed();

  std::vector<CustomerName> Customers_;
  VersionedTable<ManifestPart> Manifest_;
  std::map<std::string, Held> Held_; ///< By part name, hash of the manifest.
  std::size_t HeldBytes_ = 0;
  std::map<std::string, Parsed> Parsed_;
  std::map<DocumentId, CustomerName> Missing_;
  std::map<CustomerName, std::string> InForce_; ///< Hashes of the documents.
  std::map<CustomerName, Refusal> Refusals_;
  std::shared_ptr<const Catalog> Catalog_ = std::make_shared<const Catalog>();
  std::map<CustomerName, CustomerConfig> Configs_;
};

} // namespace kumquatpitch

#endif
