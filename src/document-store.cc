// Storage and parsing of documents, and the catalog in force. See
// document-store.h.

#include "kumquatpitch/document-store.h"

namespace kumquatpitch {

namespace {

/// Runs `Operation` and returns its failure, if any.
template <class Function>
std::optional<Failure> failureOf(Function &&Operation) {
  return handleFailure(
      [&]() -> Result<std::optional<Failure>> {
        BOOST_LEAF_AUTO(Ignored, Operation());
        static_cast<void>(Ignored);
        return std::optional<Failure>();
      },
      [](const Failure &Cause) { return std::optional<Failure>(Cause); });
}

} // namespace

void DocumentStore::setManifest(const VersionedTable<ManifestPart> &Manifest) {
  Manifest_ = Manifest;
  dropUnlisted();
}

void DocumentStore::dropUnlisted() {
  const auto IsUnlisted = [this](const std::string &Name,
                                 const std::string &Hash) {
    const ManifestPart *Part = Manifest_.find(Name);
    return !Part || Part->Hash_ != Hash;
  };
  std::erase_if(HeldDocuments_,
                [&](const std::pair<const std::string, HeldDocument> &Entry) {
                  if (!IsUnlisted(Entry.first, Entry.second.Hash_))
                    return false;
                  HeldBytes_ -= Entry.second.Bytes_->size();
                  return true;
                });
  std::erase_if(ParsedDocuments_,
                [&](const std::pair<const std::string, ParsedDocument> &Entry) {
                  return IsUnlisted(Entry.first, Entry.second.Hash_);
                });
}

bool DocumentStore::put(const DocumentId &Id, std::string Bytes) {
  const ManifestPart *Part = Manifest_.find(Id.Name_);
  if (!Part || Part->Hash_ != Id.Hash_ || contentHash(Bytes) != Id.Hash_)
    return false;
  HeldBytes_ += Bytes.size();
  HeldDocument &Entry = HeldDocuments_[Id.Name_];
  if (Entry.Bytes_)
    HeldBytes_ -= Entry.Bytes_->size();
  Entry = HeldDocument{Id.Hash_,
                       std::make_shared<const std::string>(std::move(Bytes))};
  Missing_.erase(Id);
  return true;
}

std::shared_ptr<const std::string>
DocumentStore::find(const DocumentId &Id) const {
  const std::map<std::string, HeldDocument>::const_iterator It =
      HeldDocuments_.find(Id.Name_);
  return It != HeldDocuments_.end() && It->second.Hash_ == Id.Hash_
             ? It->second.Bytes_
             : nullptr;
}

const DocumentStore::ParsedDocument *
DocumentStore::parseCached(const ManifestPart &Part,
                           const CustomerName &Customer) {
  const std::map<std::string, ParsedDocument>::iterator It =
      ParsedDocuments_.find(Part.Name_);
  if (It != ParsedDocuments_.end())
    return &It->second;
  const std::shared_ptr<const std::string> Bytes =
      find(DocumentId{Part.Name_, Part.Hash_});
  if (!Bytes) {
    Missing_.emplace(DocumentId{Part.Name_, Part.Hash_}, Customer);
    return nullptr;
  }
  ParsedDocument Document;
  Document.Hash_ = Part.Hash_;
  Document.Failure_ = failureOf([&]() -> Result<bool> {
    if (Part.Name_.starts_with("contract/")) {
      BOOST_LEAF_AUTO(Value, parseContractPart(Part.Name_, *Bytes));
      Document.Contract_ = Value;
    } else {
      BOOST_LEAF_AUTO(Value, parseServicePart(Part.Name_, *Bytes));
      Document.Entry_ = Value;
    }
    return true;
  });
  return &(ParsedDocuments_[Part.Name_] = std::move(Document));
}

bool DocumentStore::refuse(const CustomerName &Customer,
                           const std::string &Document, const Failure &Cause) {
  Refusals_[Customer] = Refusal{Document, Manifest_.version().Version_,
                                Cause.Code_, Cause.Message_};
  return false;
}

bool DocumentStore::updateCustomer(const CustomerName &Customer) {
  const ManifestPart *Part = Manifest_.find(partName(Customer));
  if (!Part) {
    Refusals_.erase(Customer);
    InForceHashes_.erase(Customer);
    return CustomerConfigs_.erase(Customer) > 0;
  }
  const ParsedDocument *ParsedContract = parseCached(*Part, Customer);
  if (!ParsedContract)
    return false;
  if (ParsedContract->Failure_)
    return refuse(Customer, Part->Name_, *ParsedContract->Failure_);
  std::vector<std::shared_ptr<const ServiceEntry>> Entries;
  std::string Hashes = Part->Hash_;
  bool IsComplete = true;
  for (const ServiceTerms &Service : ParsedContract->Contract_->Services_) {
    const ManifestPart *EntryPart = Manifest_.find(partName(Service.Service_));
    if (!EntryPart)
      continue;
    Hashes += EntryPart->Hash_;
    const ParsedDocument *Entry = parseCached(*EntryPart, Customer);
    IsComplete = IsComplete && Entry;
    if (Entry && Entry->Failure_)
      return refuse(Customer, EntryPart->Name_, *Entry->Failure_);
    if (Entry)
      Entries.push_back(Entry->Entry_);
  }
  if (!IsComplete)
    return false;
  const std::map<CustomerName, std::string>::const_iterator It =
      InForceHashes_.find(Customer);
  if (It != InForceHashes_.end() && It->second == Hashes) {
    Refusals_.erase(Customer);
    return false;
  }
  CustomerConfig NewConfig;
  const std::optional<Failure> Cause = failureOf([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(Value,
                    buildCustomerConfig(ParsedContract->Contract_, Entries));
    NewConfig = std::move(Value);
    return true;
  });
  if (Cause)
    return refuse(Customer, Part->Name_, *Cause);
  Refusals_.erase(Customer);
  InForceHashes_[Customer] = std::move(Hashes);
  CustomerConfigs_[Customer] = std::move(NewConfig);
  return true;
}

bool DocumentStore::rebuild() {
  Missing_.clear();
  bool IsChanged = false;
  for (const CustomerName &Customer : Customers_)
    IsChanged = updateCustomer(Customer) || IsChanged;
  const std::uint64_t Version =
      Missing_.empty() ? Manifest_.version().Version_ : Catalog_->Version_;
  if (!IsChanged && Version == Catalog_->Version_)
    return false;
  Catalog_ =
      std::make_shared<const Catalog>(Catalog{Version, CustomerConfigs_});
  return true;
}

} // namespace kumquatpitch
