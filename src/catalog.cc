// Builds catalogs and validates references between documents. See catalog.h.

#include "kumquatpitch/catalog.h"

namespace kumquatpitch {

namespace {

using ContractPtr = std::shared_ptr<const Contract>;
using EntryPtr = std::shared_ptr<const ServiceEntry>;
using EntryMap = std::map<ServiceName, EntryPtr>;

Failure documentFailure(std::string_view Part, const std::string &Problem,
                        ResultCode Code = ResultCode::DocumentInvalid) {
  return Failure{Code, std::string(Part) + ": " + Problem};
}

/// Runs a parser and prefixes its failure message with the part's name.
template <class T>
Result<std::shared_ptr<const T>>
parsePart(std::string_view Name, std::string_view Json,
          Result<T> (*Parse)(std::string_view)) {
  std::shared_ptr<const T> Parsed;
  const Failure Cause = handleFailure(
      [&]() -> Result<Failure> {
        BOOST_LEAF_AUTO(Value, Parse(Json));
        Parsed = std::make_shared<const T>(std::move(Value));
        return Failure{ResultCode::Ok, ""};
      },
      [](const Failure &Error) { return Error; });
  if (!Parsed)
    return boost::leaf::new_error(
        documentFailure(Name, Cause.Message_, Cause.Code_));
  return Parsed;
}

Result<EntryMap> indexEntries(const std::vector<EntryPtr> &Entries) {
  EntryMap EntryByService;
  for (const EntryPtr &Entry : Entries)
    if (!EntryByService.emplace(Entry->Service_, Entry).second)
      return boost::leaf::new_error(
          documentFailure(partName(Entry->Service_), "service: appears twice"));
  return EntryByService;
}

Result<CustomerConfig> resolveServices(ContractPtr CustomerContract,
                                       const EntryMap &Entries) {
  CustomerConfig Config;
  for (std::size_t Index = 0; Index < CustomerContract->Services_.size();
       ++Index) {
    const ServiceName &Service = CustomerContract->Services_[Index].Service_;
    const std::string Field = "services[" + std::to_string(Index) + "].name: ";
    const EntryMap::const_iterator It = Entries.find(Service);
    if (It == Entries.end())
      return boost::leaf::new_error(
          documentFailure(partName(CustomerContract->Customer_),
                          Field + "there is no " + partName(Service)));
    if (It->second->Customer_ != CustomerContract->Customer_)
      return boost::leaf::new_error(
          documentFailure(partName(CustomerContract->Customer_),
                          Field + "service \"" + Service.str() +
                              "\" belongs to another customer"));
    Config.Services_.emplace(Service, It->second);
  }
  Config.Contract_ = std::move(CustomerContract);
  return Config;
}

} // namespace

std::string partName(const CustomerName &Customer) {
  return "contract/" + Customer.str();
}

std::string partName(const ServiceName &Service) {
  return "service/" + Service.str();
}

Result<ContractPtr> parseContractPart(std::string_view Name,
                                      std::string_view Json) {
  BOOST_LEAF_AUTO(Parsed, parsePart<Contract>(Name, Json, parseContract));
  if (partName(Parsed->Customer_) != Name)
    return boost::leaf::new_error(
        documentFailure(Name, "customer: must match the part's name"));
  return Parsed;
}

Result<EntryPtr> parseServicePart(std::string_view Name,
                                  std::string_view Json) {
  BOOST_LEAF_AUTO(Parsed,
                  parsePart<ServiceEntry>(Name, Json, parseServiceEntry));
  if (partName(Parsed->Service_) != Name)
    return boost::leaf::new_error(
        documentFailure(Name, "service: must match the part's name"));
  return Parsed;
}

Result<CustomerConfig>
buildCustomerConfig(ContractPtr CustomerContract,
                    const std::vector<EntryPtr> &Entries) {
  BOOST_LEAF_AUTO(EntryByService, indexEntries(Entries));
  return resolveServices(std::move(CustomerContract), EntryByService);
}

Result<std::shared_ptr<const Catalog>>
buildCatalog(std::uint64_t Version, const std::vector<ContractPtr> &Contracts,
             const std::vector<EntryPtr> &Entries) {
  BOOST_LEAF_AUTO(EntryByService, indexEntries(Entries));
  Catalog Built;
  Built.Version_ = Version;
  for (const ContractPtr &CustomerContract : Contracts) {
    BOOST_LEAF_AUTO(Config, resolveServices(CustomerContract, EntryByService));
    if (!Built.Customers_
             .emplace(CustomerContract->Customer_, std::move(Config))
             .second)
      return boost::leaf::new_error(documentFailure(
          partName(CustomerContract->Customer_), "customer: appears twice"));
  }
  return std::make_shared<const Catalog>(std::move(Built));
}

const Contract *findContract(const Catalog &Value,
                             const CustomerName &Customer) {
  const std::map<CustomerName, CustomerConfig>::const_iterator It =
      Value.Customers_.find(Customer);
  return It == Value.Customers_.end() ? nullptr : It->second.Contract_.get();
}

const ServiceEntry *findService(const Catalog &Value,
                                const ServiceName &Service) {
  for (const std::pair<const CustomerName, CustomerConfig> &Customer :
       Value.Customers_) {
    const EntryMap::const_iterator It = Customer.second.Services_.find(Service);
    if (It != Customer.second.Services_.end())
      return It->second.get();
  }
  return nullptr;
}

} // namespace kumquatpitch
