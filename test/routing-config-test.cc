// Tests of route lookup: the longest prefix of whole path segments wins.

#include "kumquatpitch/routing-config.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static VirtualRoute route(const char *Name, const char *Host,
                          const char *Prefix) {
  VirtualRoute Route;
  Route.Name_ = Name;
  Route.Host_ = Host;
  Route.Prefix_ = Prefix;
  Route.Shares_ = {ServiceShare{ServiceName("a"), 1}};
  return Route;
}

TEST_GROUP(RouteTable) {
  RoutingConfig Config_{1,
                        {},
                        {route("short", "h.example", "/a/"),
                         route("long", "h.example", "/a/b/"),
                         route("other", "g.example", "/a/")},
                        {},
                        {}};
  const RouteTable Table_{Config_};

  std::string routeName(const char *Host, const char *Path) {
    const VirtualRoute *Route = Table_.find(Host, Path);
    return Route ? Route->Name_ : "none";
  }
};

TEST(RouteTable, LongestPrefixWins) {
  CHECK_EQUAL(std::string("long"), routeName("h.example", "/a/b/c"));
  CHECK_EQUAL(std::string("short"), routeName("h.example", "/a/c/d"));
  CHECK_EQUAL(std::string("long"), routeName("h.example", "/a/b/"));
}

// Guards against matching "/a/bc" to the prefix "/a/b/".
TEST(RouteTable, PrefixMatchesWholeSegmentsOnly) {
  CHECK_EQUAL(std::string("short"), routeName("h.example", "/a/bc"));
  CHECK_EQUAL(std::string("none"), routeName("h.example", "/a"));
}

TEST(RouteTable, RoutesAreSeparateByHost) {
  CHECK_EQUAL(std::string("other"), routeName("g.example", "/a/b/c"));
  CHECK_EQUAL(std::string("none"), routeName("x.example", "/a/b/c"));
}
