// Which configurations have services that are balanced by expected work.

#include "kumquatpitch/balancing/work-scope.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

VirtualRoute route(const char *Service, RouteKind Kind) {
  VirtualRoute Route;
  Route.Host_ = "h";
  Route.Prefix_ = Service;
  Route.Shares_ = {ServiceShare{ServiceName(Service), 1}};
  Route.Kind_ = Kind;
  return Route;
}

} // namespace

TEST_GROUP(WorkScope){};

TEST(WorkScope, IsEmptyWithoutUploadsAndWorkspaces) {
  RoutingConfig Config;
  Config.Routes_ = {route("a", RouteKind::Idempotent),
                    route("b", RouteKind::AtMostOnce),
                    route("c", RouteKind::Download)};
  CHECK(servicesByWork(Config).empty());
}

TEST(WorkScope, HoldsTheServicesThatTakeUploads) {
  RoutingConfig Config;
  Config.Routes_ = {route("a", RouteKind::Idempotent),
                    route("b", RouteKind::Upload)};
  CHECK(servicesByWork(Config) == std::set<ServiceName>{ServiceName("b")});
}

TEST(WorkScope, HoldsAllServicesWhereCallersHaveWorkspaces) {
  RoutingConfig Config;
  Config.Routes_ = {route("a", RouteKind::Idempotent),
                    route("b", RouteKind::AtMostOnce)};
  Config.Workspaces_ = std::vector<WorkspaceSettings>();
  CHECK_EQUAL(2U, servicesByWork(Config).size());
}
