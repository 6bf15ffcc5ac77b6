// Route lookup: longest prefix on whole path segments.

#include "kumquatpitch/routing-config.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static VirtualRoute route(const char *Name, const char *Host,
                          const char *Prefix) {
  VirtualRoute Made;
  Made.Name_ = Name;
  Made.Host_ = Host;
  Made.Prefix_ = Prefix;
  Made.Shares_ = {ServiceShare{ServiceName("a"), 1}};
  return Made;
}

TEST_GROUP(RouteTable) {
  RoutingConfig Config_{1,
                        {},
                        {route("short", "h.example", "/a/"),
                         route("long", "h.example", "/a/b/"),
                         route("other", "g.example", "/a/")},
                        {}};
  const RouteTable Table_{Config_};

  std::string nameOf(const char *Host, const char *Path) {
    const VirtualRoute *Found = Table_.find(Host, Path);
    return Found ? Found->Name_ : "none";
  }
};

TEST(RouteTable, LongestPrefixWins) {
  CHECK_EQUAL(std::string("long"), nameOf("h.example", "/a/b/c"));
  CHECK_EQUAL(std::string("short"), nameOf("h.example", "/a/c/d"));
  CHECK_EQUAL(std::string("long"), nameOf("h.example", "/a/b/"));
}

// Guards against "/a/bc" being taken for a path below "/a/b/".
TEST(RouteTable, PrefixesEndAtSegments) {
  CHECK_EQUAL(std::string("short"), nameOf("h.example", "/a/bc"));
  CHECK_EQUAL(std::string("none"), nameOf("h.example", "/a"));
}

TEST(RouteTable, HostsAreApart) {
  CHECK_EQUAL(std::string("other"), nameOf("g.example", "/a/b/c"));
  CHECK_EQUAL(std::string("none"), nameOf("x.example", "/a/b/c"));
}
