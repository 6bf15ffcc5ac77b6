// Tests who a caller's key names, and which callers are refused.

#include "kumquatpitch/admission/admission-control.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static WorkspaceSettings workspace(const char *Name,
                                   const std::vector<const char *> &Keys,
                                   std::uint32_t Priority = 0) {
  WorkspaceSettings Settings;
  Settings.Name_ = WorkspaceName(Name);
  for (const char *Key : Keys)
    Settings.Keys_.push_back(digestOf(Key));
  Settings.Priority_ = Priority;
  return Settings;
}

TEST_GROUP(AdmissionControl) {
  VirtualRoute Private_;
  VirtualRoute Public_;
  RoutingConfig Config_;
  AdmissionControl Admission_{AdmissionOptions{}};
  AdmissionControl Strict_{AdmissionOptions{ms(5'000)}};

  void setup() override {
    Public_.IsPublic_ = true;
    Config_.Workspaces_ = {workspace("red", {"key-1", "key-2"}, 3),
                           workspace("blue", {"key-3"})};
  }

  static Credential bearer(const std::string &Key) {
    return credentialOf({{"Authorization", "Bearer " + Key}});
  }

  /// The workspace's name, `anonymous`, or the name of the refusal's code.
  std::string identify(const AdmissionControl &Admission,
                       const VirtualRoute &Route, const Credential &Presented,
                       std::int64_t NowMs = 1'000) const {
    const std::variant<GatewayRefusal, CallerIdentity> Result =
        Admission.identify(RouteTable(Config_), Route, Presented, atMs(NowMs));
    if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Result))
      return resultCodeName(Refusal->Code_);
    const CallerIdentity &Caller = std::get<CallerIdentity>(Result);
    return Caller.Key_ ? Caller.Workspace_.str() : "anonymous";
  }
};

TEST(AdmissionControl, KeyNamesItsWorkspace) {
  STRCMP_EQUAL("red", identify(Admission_, Private_, bearer("key-2")).c_str());
  STRCMP_EQUAL("blue", identify(Admission_, Public_, bearer("key-3")).c_str());
}

TEST(AdmissionControl, UnknownMissingAndMalformedKeysAreRefused) {
  for (const Credential &Presented :
       {bearer("key-4"), bearer("key-11"), bearer("key-"), Credential{},
        credentialOf({{"Authorization", "Basic key-1"}})}) {
    STRCMP_EQUAL("key_unknown",
                 identify(Admission_, Private_, Presented).c_str());
    STRCMP_EQUAL("anonymous", identify(Admission_, Public_, Presented).c_str());
  }
}

TEST(AdmissionControl, OddFormsOfTheHeaderNameNobody) {
  for (const char *Value :
       {"", "Bearer", "Bearer ", "Bearer  \t", "key-1", "Bearer key-1 key-2",
        "Bearer,key-1", "Bearer key-1\x01", "Bearerkey-1"})
    CHECK(credentialOf({{"Authorization", Value}}).State_ ==
          CredentialState::Malformed);
  CHECK(credentialOf({{"Authorization", "Bearer key-1"},
                      {"authorization", "Bearer key-1"}})
            .State_ == CredentialState::Malformed);
  CHECK(credentialOf({{"Host", "h"}}).State_ == CredentialState::Missing);
  CHECK(credentialOf({{"AUTHORIZATION", " bearer   key-1 "}}) ==
        bearer("key-1"));
  const std::string Long(8'192, 'k');
  CHECK(bearer(Long).Key_ == digestOf(Long));
}

// Configurations without workspaces are served as before.
TEST(AdmissionControl, WithoutWorkspacesEveryoneIsServed) {
  Config_.Workspaces_.reset();
  STRCMP_EQUAL("anonymous", identify(Strict_, Private_, Credential{}).c_str());
  Config_.Workspaces_.emplace();
  STRCMP_EQUAL("key_unknown",
               identify(Admission_, Private_, bearer("key-1")).c_str());
}

TEST(AdmissionControl, WithoutAProofNoKeyIsAccepted) {
  STRCMP_EQUAL("key_unproven",
               identify(Strict_, Private_, bearer("key-1")).c_str());
  STRCMP_EQUAL("anonymous",
               identify(Strict_, Public_, bearer("key-1")).c_str());
  STRCMP_EQUAL("key_unknown",
               identify(Strict_, Private_, Credential{}).c_str());
  Strict_.configProven(atMs(1'000));
  Strict_.configProven(atMs(500));
  STRCMP_EQUAL("red",
               identify(Strict_, Private_, bearer("key-1"), 5'999).c_str());
  STRCMP_EQUAL("key_unproven",
               identify(Strict_, Private_, bearer("key-1"), 6'000).c_str());
}

// Guards against a queued request that runs after its key was withdrawn.
TEST(AdmissionControl, WithdrawnKeyStopsAdmittedRequests) {
  const CallerIdentity Caller{digestOf("key-1"), WorkspaceName("red")};
  CHECK(Admission_.mayRun(Caller, RouteTable(Config_), atMs(0)));
  CHECK_FALSE(Strict_.mayRun(Caller, RouteTable(Config_), atMs(0)));
  Config_.Workspaces_ = {workspace("red", {"key-2"}),
                         workspace("blue", {"key-1"})};
  CHECK_FALSE(Admission_.mayRun(Caller, RouteTable(Config_), atMs(0)));
  CHECK(Admission_.mayRun(CallerIdentity{}, RouteTable(Config_), atMs(0)));
}

TEST(AdmissionControl, PriorityOfTheWorkspaceGoesFirst) {
  Private_.Priority_ = 2;
  const RouteTable Table(Config_);
  const RequestPriority Red =
      priorityOf(Table, Private_, {digestOf("key-1"), WorkspaceName("red")});
  const RequestPriority Blue =
      priorityOf(Table, Private_, {digestOf("key-3"), WorkspaceName("blue")});
  CHECK(Red == (RequestPriority{3, 2}));
  CHECK(Blue < Red);
  CHECK(RequestPriority{1} < Red);
}

// A key that two workspaces hold could give one of them the other's data.
TEST(AdmissionControl, KeyOfTwoWorkspacesNamesNeither) {
  Config_.Workspaces_ = {workspace("red", {"key-1", "key-2"}),
                         workspace("blue", {"key-1"}),
                         workspace("red", {"key-5"}, 9)};
  const WorkspaceIndex Index(*Config_.Workspaces_);
  CHECK(Index.find(digestOf("key-1")) == nullptr);
  CHECK(Index.find(digestOf("key-5"))->Name_ == WorkspaceName("red"));
  CHECK_EQUAL(0U, Index.find(digestOf("key-5"))->Priority_);
  CHECK_EQUAL(2U, Index.problems().size());
  for (const std::string &Problem : Index.problems())
    CHECK(Problem.find("key-1") == std::string::npos);
}

TEST(AdmissionControl, TenThousandWorkspacesAreIndexed) {
  std::vector<WorkspaceSettings> Many;
  Many.reserve(10'000);
  for (int Index = 0; Index < 10'000; ++Index)
    Many.push_back(workspace(("w" + std::to_string(Index)).c_str(),
                             {("key-" + std::to_string(Index)).c_str()}));
  const WorkspaceIndex Index(Many);
  CHECK_EQUAL(10'000U, Index.size());
  CHECK(Index.find(digestOf("key-9999"))->Name_ == WorkspaceName("w9999"));
  CHECK(Index.problems().empty());
}
