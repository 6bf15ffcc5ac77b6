// Host list: the optional state of a host.

#include "kumquatpitch/host-list.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static std::optional<HostList> parseHostWithState(const std::string &State) {
  const std::string Text = R"({"version":3,"hosts":[{"id":"h1","region":"r",
    "failure_domain":"d","address":"10.0.0.1","peer_port":1,
    "operator_port":2,"customer_ports":[])" +
                           State + "}]}";
  return handleFailure(
      [&]() -> Result<std::optional<HostList>> {
        BOOST_LEAF_AUTO(List, parseHostList(Text));
        return std::optional<HostList>(std::move(List));
      },
      [](const Failure &) { return std::optional<HostList>(); });
}

TEST_GROUP(HostList){};

TEST(HostList, HostsWithoutStateAreLive) {
  CHECK(parseHostWithState("")->Hosts_.front().State_ == HostState::Live);
  CHECK(parseHostWithState(R"(,"state":"live")")->Hosts_.front().State_ ==
        HostState::Live);
  CHECK(parseHostWithState(R"(,"state":"leaving")")->Hosts_.front().State_ ==
        HostState::Leaving);
}

TEST(HostList, UnknownStatesAreRejected) {
  CHECK_FALSE(parseHostWithState(R"(,"state":"gone")").has_value());
  CHECK_FALSE(parseHostWithState(R"(,"state":1)").has_value());
}
