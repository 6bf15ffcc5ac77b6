// One configuration version as the host uses it: contracts and service entries
// whose references were checked. Built by ConfigSync and the check command.

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

/// A contract and the entries of the services that it names. This is the unit
/// that is accepted or refused, since references never cross customers.
struct CustomerConfig {
  std::shared_ptr<const Contract> Contract_;
  std::map<ServiceName, std::shared_ptr<const ServiceEntry>> Services_;
};

/// Immutable after construction; shared by all users of one version.
struct Catalog {
  std::uint64_t Version_ = 0; ///< Of the manifest that it was built for.
  std::map<CustomerName, CustomerConfig> Customers_;
};

/// Checks that the contract names only services that have an entry and belong
/// to its own customer. Fails with DocumentInvalid; the message names the
/// document and the field.
Result<CustomerConfig> buildCustomerConfig(
    std::shared_ptr<const Contract> Terms,
    const std::vector<std::shared_ptr<const ServiceEntry>> &Entries);

/// Builds a catalog of all documents; fails as a whole. Entries that no
/// contract names are checked and left out.
Result<std::shared_ptr<const Catalog>>
buildCatalog(std::uint64_t Version,
             const std::vector<std::shared_ptr<const Contract>> &Contracts,
             const std::vector<std::shared_ptr<const ServiceEntry>> &Entries);

/// Parses a part such as `contract/imigongo` and checks that the document is
/// the one that its name says. Failure messages start with the part's name.
Result<std::shared_ptr<const Contract>>
parseContractPart(std::string_view Name, std::string_view Json);
Result<std::shared_ptr<const ServiceEntry>>
parseServicePart(std::string_view Name, std::string_view Json);

/// Part names of documents.
std::string partName(const CustomerName &Customer);
std::string partName(const ServiceName &Service);

/// Contract of a customer, or null.
const Contract *findContract(const Catalog &Value,
                             const CustomerName &Customer);

/// Entry of a service, or null. The cost grows with the count of customers.
const ServiceEntry *findService(const Catalog &Value,
                                const ServiceName &Service);

} // namespace kumquatpitch

#endif
