// Catalog: references between documents.

#include "kumquatpitch/catalog.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static std::shared_ptr<const Contract>
makeContract(const char *Customer, const std::vector<std::string> &Services) {
  Contract CustomerContract;
  CustomerContract.Customer_ = CustomerName(Customer);
  for (const std::string &Name : Services) {
    CustomerContract.Services_.emplace_back();
    CustomerContract.Services_.back().Service_ = ServiceName(Name);
  }
  return std::make_shared<const Contract>(std::move(CustomerContract));
}

static std::shared_ptr<const ServiceEntry> makeEntry(const char *Service,
                                                     const char *Customer) {
  ServiceEntry Entry;
  Entry.Service_ = ServiceName(Service);
  Entry.Customer_ = CustomerName(Customer);
  return std::make_shared<const ServiceEntry>(std::move(Entry));
}

template <class Body> static std::string failureMessage(Body &&Run) {
  return handleFailure(
      [&]() -> Result<std::string> {
        if (decltype(Run()) Returned = Run(); !Returned)
          return Returned.error();
        return std::string();
      },
      [](const Failure &Cause) { return Cause.Message_; });
}

TEST_GROUP(Catalog){};

TEST(Catalog, FindsItsContractsAndEntries) {
  const std::shared_ptr<const Catalog> Built =
      buildCatalog(7, {makeContract("imigongo", {"ledger"})},
                   {makeEntry("ledger", "imigongo")})
          .value();
  CHECK_EQUAL(7, Built->Version_);
  CHECK(findContract(*Built, CustomerName("imigongo")) != nullptr);
  CHECK(findService(*Built, ServiceName("ledger")) != nullptr);
  CHECK(findService(*Built, ServiceName("workshop")) == nullptr);
}

// Guards against a contract that lets a customer reach another customer's
// backend servers.
TEST(Catalog, RejectsServiceOfAnotherCustomer) {
  STRCMP_EQUAL("contract/imigongo: services[1].name: service \"stem-room\" "
               "belongs to another customer",
               failureMessage([] {
                 return buildCatalog(
                     1, {makeContract("imigongo", {"ledger", "stem-room"})},
                     {makeEntry("ledger", "imigongo"),
                      makeEntry("stem-room", "altar-flowers")});
               }).c_str());
}

// Guards against accepting a contract with a service that has no targets.
TEST(Catalog, RejectsServiceWithoutEntry) {
  STRCMP_EQUAL("contract/imigongo: services[0].name: there is no "
               "service/ledger",
               failureMessage([] {
                 return buildCatalog(1, {makeContract("imigongo", {"ledger"})},
                                     {});
               }).c_str());
}

// Guards against a document that is published under the name of another one.
TEST(Catalog, RejectsPartWhoseNameDiffersFromDocument) {
  const char *const Json =
      R"({"service":"ledger","customer":"imigongo","version":1,
          "floor_targets":0,"detection_profile":"fast-detection",
          "region":"kigali","targets":[{"id":"t1","address":"127.0.0.1",
          "port":1,"failure_domain":"gasabo","slots":2,"connections":400,
          "state":"serving"}]})";
  STRCMP_EQUAL("", failureMessage([&] {
                     return parseServicePart("service/ledger", Json);
                   }).c_str());
  STRCMP_EQUAL("service/workshop: service: must match the part's name",
               failureMessage([&] {
                 return parseServicePart("service/workshop", Json);
               }).c_str());
  STRCMP_EQUAL("service/ledger: version: is missing",
               failureMessage([&] {
                 return parseServicePart(
                     "service/ledger",
                     R"({"service":"ledger","customer":"imigongo"})");
               }).c_str());
}
