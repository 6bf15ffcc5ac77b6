// Documents and the catalog in force. See document-store.h.

#include "kumquatpitch/document-store.h"

namespace kumquatpitch {

namespace {

/// Runs `Make`; its failure, or none.
template <class Maker> std::optional<Failure> failureOf(Maker &&Make) {
  return handleFailure(
      [&]() -> Result<std::optional<Failure>> {
        BOOST_LEAF_AUTO(Done, Make());
        static_cast<void>(Done);
        return std::optional<Failure>();
      },
      [](const Failure &Cause) { return std::optional<Failure>(Cause); });
}

} // namespace

void DocumentStore::setManifest(const VersionedTable<ManifestPart> &Manifest) {
  Manifest_ = Manifest;
  dropUnnamed();
}

void DocumentStore::dropUnnamed() {
  const auto IsUnnamed = [this](const std::string &Name,
                                const std::string &Hash) {
    const ManifestPart *Part = Manifest_.find(Name);
    return !Part || Part->Hash_ != Hash;
  };
  std::erase_if(Held_, [&](const std::pair<const std::string, Held> &Each) {
    if (!IsUnnamed(Each.first, Each.second.Hash_))
      return false;
    HeldBytes_ -= Each.second.Bytes_->size();
    return true;
  });
  std::erase_if(Parsed_, [&](const std::pair<const std::string, Parsed> &Each) {
    return IsUnnamed(Each.first, Each.second.Hash_);
  });
}

bool DocumentStore::put(const DocumentId &Id, std::string Bytes) {
  const ManifestPart *Part = Manifest_.find(Id.Name_);
  if (!Part || Part->Hash_ != Id.Hash_ || contentHash(Bytes) != Id.Hash_)
    return false;
  HeldBytes_ += Bytes.size();
  Held &Entry = Held_[Id.Name_];
  if (Entry.Bytes_)
    HeldBytes_ -= Entry.Bytes_->size();
  Entry = Held{Id.Hash_, std::make_shared<const std::string>(std::move(Bytes))};
  Missing_.erase(Id);
  return true;
}

std::shared_ptr<const std::string>
DocumentStore::find(const DocumentId &Id) const {
  const std::map<std::string, Held>::const_iterator It = Held_.find(Id.Name_);
  return It != Held_.end() && It->second.Hash_ == Id.Hash_ ? It->second.Bytes_
                                                           : nullptr;
}

const DocumentStore::Parsed *
DocumentStore::parsed(const ManifestPart &Part, const CustomerName &Customer) {
  const std::map<std::string, Parsed>::iterator It = Parsed_.find(Part.Name_);
  if (It != Parsed_.end())
    return &It->second;
  const std::shared_ptr<const std::string> Bytes =
      find(DocumentId{Part.Name_, Part.Hash_});
  if (!Bytes) {
    Missing_.emplace(DocumentId{Part.Name_, Part.Hash_}, Customer);
    return nullptr;
  }
  Parsed Read;
  Read.Hash_ = Part.Hash_;
  Read.Failure_ = failureOf([&]() -> Result<bool> {
    if (Part.Name_.starts_with("contract/")) {
      BOOST_LEAF_AUTO(Value, parseContractPart(Part.Name_, *Bytes));
      Read.Contract_ = Value;
    } else {
      BOOST_LEAF_AUTO(Value, parseServicePart(Part.Name_, *Bytes));
      Read.Entry_ = Value;
    }
    return true;
  });
  return &(Parsed_[Part.Name_] = std::move(Read));
}

bool DocumentStore::refuse(const CustomerName &Customer,
                           const std::string &Document, const Failure &Cause) {
  Refusals_[Customer] = Refusal{Document, Manifest_.version().Version_,
                                Cause.Code_, Cause.Message_};
  return false;
}

/// True when the customer's configuration in force changed.
bool DocumentStore::settle(const CustomerName &Customer) {
  const ManifestPart *Part = Manifest_.find(partName(Customer));
  if (!Part) {
    Refusals_.erase(Customer);
    InForce_.erase(Customer);
    return Configs_.erase(Customer) > 0;
  }
  const Parsed *Terms = parsed(*Part, Customer);
  if (!Terms)
    return false;
  if (Terms->Failure_)
    return refuse(Customer, Part->Name_, *Terms->Failure_);
  std::vector<std::shared_ptr<const ServiceEntry>> Entries;
  std::string Hashes = Part->Hash_;
  bool IsComplete = true;
  for (const ServiceTerms &Service : Terms->Contract_->Services_) {
    const ManifestPart *Named = Manifest_.find(partName(Service.Service_));
    if (!Named)
      continue;
    Hashes += Named->Hash_;
    const Parsed *Entry = parsed(*Named, Customer);
    IsComplete = IsComplete && Entry;
    if (Entry && Entry->Failure_)
      return refuse(Customer, Named->Name_, *Entry->Failure_);
    if (Entry)
      Entries.push_back(Entry->Entry_);
  }
  if (!IsComplete)
    return false;
  const std::map<CustomerName, std::string>::const_iterator It =
      InForce_.find(Customer);
  if (It != InForce_.end() && It->second == Hashes) {
    Refusals_.erase(Customer);
    return false;
  }
  CustomerConfig Built;
  const std::optional<Failure> Cause = failureOf([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(Value, buildCustomerConfig(Terms->Contract_, Entries));
    Built = std::move(Value);
    return true;
  });
  if (Cause)
    return refuse(Customer, Part->Name_, *Cause);
  Refusals_.erase(Customer);
  InForce_[Customer] = std::move(Hashes);
  Configs_[Customer] = std::move(Built);
  return true;
}

bool DocumentStore::rebuild() {
  Missing_.clear();
  bool IsChanged = false;
  for (const CustomerName &Customer : Customers_)
    IsChanged = settle(Customer) || IsChanged;
  const std::uint64_t Version =
      Missing_.empty() ? Manifest_.version().Version_ : Catalog_->Version_;
  if (!IsChanged && Version == Catalog_->Version_)
    return false;
  Catalog_ = std::make_shared<const Catalog>(Catalog{Version, Configs_});
  return true;
}

} // namespace kumquatpitch
