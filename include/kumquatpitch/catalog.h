// One configuration version as the host uses it: contracts and service entries
// whose references to each other are validated. ConfigSync and the check
// command build it.

#ifndef KUMQUATPITCH_CATALOG_H
#define KUMQUATPITCH_CATALOG_H

#include "kumquatpitch/contract.h"
#include "kumquatpitch/service-entry.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// A contract and the entries of the services that it names. A configuration is
/// accepted or rejected per customer, since no document refers to one of
/// another customer.
struct CustomerConfig {
  std::shared_ptr<const Contract> Contract_;
  std::map<ServiceName, std::shared_ptr<const ServiceEntry>> Services_;
};

/// Immutable after construction; shared by all users of one version.
struct Catalog {
  std::uint64_t Version_ = 0; ///< Version of the manifest it was built for.
  std::map<CustomerName, CustomerConfig> Customers_;
};

/// Combines a contract with the entries of its services. Each service must have
/// an entry and belong to the contract's customer. Fails with DocumentInvalid;
/// the message names the document and the field.
Result<CustomerConfig> buildCustomerConfig(
    std::shared_ptr<const Contract> CustomerContract,
    const std::vector<std::shared_ptr<const ServiceEntry>> &Entries);

/// Builds a catalog of all documents; one invalid document makes the whole call
/// fail. Entries that no contract names are checked but not included.
Result<std::shared_ptr<const Catalog>>
buildCatalog(std::uint64_t Version,
             const std::vector<std::shared_ptr<const Contract>> &Contracts,
             const std::vector<std::shared_ptr<const ServiceEntry>> &Entries);

/// Parses a part of the manifest, such as `contract/imigongo`, and checks that
/// the customer or service in the document matches the part's name. Failure
/// messages start with the part's name.
Result<std::shared_ptr<const Contract>>
parseContractPart(std::string_view Name, std::string_view Json);
Result<std::shared_ptr<const ServiceEntry>>
parseServicePart(std::string_view Name, std::string_view Json);

/// Name of the manifest part that holds a document: `contract/CUSTOMER` or
/// `service/SERVICE`.
std::string partName(const CustomerName &Customer);
std::string partName(const ServiceName &Service);

/// Contract of a customer, or null.
const Contract *findContract(const Catalog &Value,
                             const CustomerName &Customer);

/// Entry of a service, or null. Takes time linear in the number of customers.
const ServiceEntry *findService(const Catalog &Value,
                                const ServiceName &Service);

} // namespace kumquatpitch

#endif
