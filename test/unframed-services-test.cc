// Tests the declaration of services whose answers end with their connection.

#include "kumquatpitch/unframed-services.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(UnframedServices){
    static bool contains(const char *Text, const char *Service){
        const std::optional<UnframedServices> Parsed =
            UnframedServices::parse(Text);
CHECK(Parsed.has_value());
return Parsed && Parsed->contains(ServiceName(Service));
}
}
;

TEST(UnframedServices, NoneIsDeclaredByDefault) {
  CHECK(!UnframedServices().contains(ServiceName("desk")));
  CHECK(!contains("", "desk"));
  CHECK(!contains(" ", "desk"));
}

TEST(UnframedServices, DeclaresTheListedOnes) {
  CHECK(contains("desk", "desk"));
  CHECK(contains("ledger, desk", "desk"));
  CHECK(contains("ledger,desk", "ledger"));
  CHECK(!contains("ledger, desk", "des"));
}

TEST(UnframedServices, StarDeclaresAll) {
  CHECK(contains("*", "desk"));
  CHECK(contains("ledger, *", "desk"));
}

TEST(UnframedServices, ListsWithOtherTextAreRejected) {
  for (const char *Text : {",", "desk,", "a b", "Desk", "desk,,ledger", "**"})
    CHECK_TEXT(!UnframedServices::parse(Text), Text);
}
