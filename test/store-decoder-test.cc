// Tests the decoding of the platform store's contents, including entries of
// other writers, and of the calls that the platform adapter handles.

#include "platform/platform-adapter.h"
#include "platform/store-decoder.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static const std::string TargetText =
    R"({"Address":"10.128.0.9:8080","Info":{"Service":"desk","Version":"v1",)"
    R"("Zone":"ikeja","Slots":3},"Status":{"State":"ready","Seq":4,)"
    R"("ColdLeftS":1.5},"born":1767280437058,"New":[1]})";

static const std::string ConfigText =
    R"({"Version":"0000001c","Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},)"
    R"("Listeners":[{"Host":"h.example","Policy":[{"Name":"r","Kind":)"
    R"("idempotent","GoalS":1,"Priority":2,"Match":{"Prefix":"/a/"},)"
    R"("Action":{"TrafficSplit":[{"Service":"x","Weight":90},)"
    R"({"Service":"y","Weight":10}],"TimeoutS":2.5,"Attempts":2}}]}],)"
    R"("Clusters":[{"Name":"x","HealthPath":"/healthz","MaxConns":390}]})";

static std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  const std::size_t Position = Text.find(From);
  CHECK(Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

TEST_GROUP(StoreDecoder) {
  std::string Problem_;

  std::optional<TargetEntry> decode(const std::string &Text,
                                    const std::string &Id = "i-1") {
    Problem_.clear();
    return decodeTarget(TargetId(Id), Text, Problem_);
  }
};

TEST(StoreDecoder, TargetIsDecoded) {
  const std::optional<TargetEntry> Entry = decode(TargetText);
  CHECK(Entry.has_value());
  CHECK(Entry->Id_ == TargetId("i-1"));
  CHECK(Entry->Address_ == (Endpoint{"10.128.0.9", 8'080}));
  CHECK(Entry->Domain_ == FailureDomain("ikeja"));
  CHECK_EQUAL(3, Entry->Slots_);
  CHECK_EQUAL(1'767'280'437'058U, Entry->StartedUnixMs_);
  CHECK(Entry->ColdFor_ == ms(1'500));
  CHECK_FALSE(Entry->Leaving_);
  CHECK(decode(replaced(TargetText, "ready", "draining"))->Leaving_);
}

TEST(StoreDecoder, WorkspacesAreDecodedWithoutTheirKeys) {
  const std::string Text = replaced(
      replaced(ConfigText, R"("Priority":2)", R"("Priority":2,"Public":true)"),
      R"("Clusters")",
      R"("Tenants":[{"Name":"red","ApiKeys":["k-1","k-2"],"Priority":3,)"
      R"("RatePerS":22.5,"Burst":4},{"Name":"blue","RatePerS":null}],)"
      R"("Clusters")");
  const std::shared_ptr<const RouteTable> Table = decodeConfig(Text, Problem_);
  CHECK(Table != nullptr);
  CHECK(Table->config().Routes_.front().IsPublic_);
  const WorkspaceSettings *Red = Table->workspaces()->find(digestOf("k-2"));
  CHECK(Red != nullptr);
  CHECK(Red->Name_ == WorkspaceName("red"));
  CHECK_EQUAL(3U, Red->Priority_);
  DOUBLES_EQUAL(22.5, Red->RatePerSecond_, 1e-9);
  DOUBLES_EQUAL(4, Red->Burst_, 1e-9);
  CHECK_FALSE(Table->workspaces()->find(WorkspaceName("blue"))->hasLimit());
  CHECK(decodeConfig(ConfigText, Problem_)->workspaces() == nullptr);
}

// Guards against one odd workspace that costs all others their keys, and
// against its key in a log line.
TEST(StoreDecoder, OddWorkspacesAreLeftOutAndReported) {
  for (const char *Odd :
       {R"({"Name":7,"ApiKeys":["secret"]})", R"({"ApiKeys":["secret"]})",
        R"({"Name":"red","ApiKeys":["secret",""]})",
        R"({"Name":"red","ApiKeys":["secret",7]})", R"("secret")",
        R"({"Name":"red","ApiKeys":["secret"],"RatePerS":-1})",
        R"({"Name":"red","ApiKeys":{"a":"secret","b":[]}})"}) {
    const std::string Text =
        replaced(ConfigText, R"("Clusters")",
                 std::string(R"("Tenants":[)") + Odd +
                     R"(,{"Name":"blue","ApiKeys":["k-1"]}],"Clusters")");
    const std::shared_ptr<const RouteTable> Table =
        decodeConfig(Text, Problem_);
    CHECK(Table != nullptr);
    CHECK(Table->workspaces()->find(digestOf("k-1")) != nullptr);
    CHECK_EQUAL(1U, Table->config().WorkspaceProblems_.size());
    CHECK(Table->config().WorkspaceProblems_.front().find("secret") ==
          std::string::npos);
  }
}

// Guards against requests being sent to an address that an entry of another
// writer names.
TEST(StoreDecoder, UnusableEntriesYieldNoTarget) {
  const std::pair<const char *, const char *> Defects[] = {
      {R"("Slots":3)", R"("Slots":"3")"},
      {R"("Slots":3)", R"("Slots":0)"},
      {R"("Seq":4)", R"("Seq":-4)"},
      {R"("State":"ready")", R"("State":"resting")"},
      {R"("State":"ready",)", ""},
      {R"("Zone":"ikeja")", R"("Zone":7)"},
      {R"("ColdLeftS":1.5)", R"("ColdLeftS":"soon")"},
      {R"(10.128.0.9:8080)", R"(10.128.0.9)"},
      {R"("born":1767280437058)", R"("born":1767280437058.5)"},
      {R"("Service":"desk")", R"("Service":null)"},
      {R"("Service":"desk")", R"("Service":"de\nsk")"}};
  for (const std::pair<const char *, const char *> &Defect : Defects) {
    CHECK_FALSE(
        decode(replaced(TargetText, Defect.first, Defect.second)).has_value());
    CHECK_FALSE(Problem_.empty());
  }
  CHECK_FALSE(decode("\xff no JSON").has_value());
}

// Guards against an address that cannot be a server's being used as one: every
// request to it fails, and the unspecified address reaches this host.
TEST(StoreDecoder, EntriesWithoutAServersAddressYieldNoTarget) {
  for (const char *Address :
       {"desk.example:8080", ":8080", "0.0.0.0:8080", "224.0.0.1:8080",
        "255.255.255.255:8080", "10.128.0:8080", "10.128.0.9\\u0000a:8080",
        "::1:8080", "10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:-1",
        "10.128.0.9:8080 ", "10.128.0.9:"})
    CHECK_FALSE_TEXT(
        decode(replaced(TargetText, "10.128.0.9:8080", Address)).has_value(),
        Address);
}

// Guards against numbers that wrap around to usable ones, or make a target look
// free or newer than any other.
TEST(StoreDecoder, EntriesWithTooLargeNumbersYieldNoTarget) {
  const std::pair<const char *, const char *> Defects[] = {
      {R"("Slots":3)", R"("Slots":4294967299)"},
      {R"("Slots":3)", R"("Slots":1000000)"},
      {R"("Slots":3)", R"("Slots":1e999)"},
      {R"("Slots":3)", R"("Slots":123456789012345678901234567890)"},
      {R"("Seq":4)", R"("Seq":1e300)"},
      {R"("ColdLeftS":1.5)", R"("ColdLeftS":1e300)"},
      {R"("born":1767280437058)", R"("born":18446744073709551615)"}};
  for (const std::pair<const char *, const char *> &Defect : Defects)
    CHECK_FALSE_TEXT(
        decode(replaced(TargetText, Defect.first, Defect.second)).has_value(),
        Defect.second);
}

// Guards against an id that would end the header in which it is sent.
TEST(StoreDecoder, EntriesWithUnusableIdsYieldNoTarget) {
  for (const char *Id : {"", "i 1", "i\r\nX: 1", "i\xc3\xa9"})
    CHECK_FALSE(decode(TargetText, Id).has_value());
  const std::string LongName =
      R"("Zone":")" + std::string(300'000, 'z') + R"(")";
  CHECK_FALSE(
      decode(replaced(TargetText, R"("Zone":"ikeja")", LongName)).has_value());
}

// Guards against an entry that exhausts the stack when it is parsed, compared
// or freed.
TEST(StoreDecoder, DeeplyNestedEntriesYieldNoTarget) {
  constexpr std::size_t Depth = 500'000;
  const std::string Arrays = std::string(Depth, '[') + std::string(Depth, ']');
  CHECK_FALSE(decode(Arrays).has_value());
  CHECK_FALSE(decode(std::string(Depth, '[')).has_value());
  std::string Objects;
  for (std::size_t Level = 0; Level < Depth; ++Level)
    Objects += R"({"a":)";
  CHECK_FALSE(decode(Objects + "1" + std::string(Depth, '}')).has_value());
  CHECK(decode(replaced(TargetText, "[1]", Arrays)).has_value());
  CHECK_FALSE(decode(replaced(TargetText, "3", Arrays)).has_value());
}

TEST(StoreDecoder, ConfigurationIsDecoded) {
  std::string Problem;
  const std::shared_ptr<const RouteTable> Table =
      decodeConfig(ConfigText, Problem);
  CHECK(Table != nullptr);
  CHECK_EQUAL(0x1cU, Table->config().Version_);
  const VirtualRoute *Route = Table->find("h.example", "/a/b");
  CHECK(Route != nullptr);
  CHECK(Route->isIdempotent());
  CHECK(Route->Timeout_ == ms(2'500));
  CHECK(Route->Objective_ == ms(1'000));
  CHECK_EQUAL(2, Route->MaxTargets_);
  CHECK_EQUAL(90, Route->Shares_.front().Weight_);
  CHECK(Table->config().Limits_.IdleTimeout_ == ms(15'000));
}

// Guards against a request of an unknown kind being run more than once.
TEST(StoreDecoder, UnknownKindIsNotIdempotent) {
  std::string Problem;
  const std::shared_ptr<const RouteTable> Table = decodeConfig(
      replaced(ConfigText, R"("idempotent")", R"("novel")"), Problem);
  CHECK_FALSE(Table->find("h.example", "/a/b")->isIdempotent());
  CHECK(Table->config().UnknownKinds_ == std::set<std::string>{"novel"});
}

// Guards against a failed download not being sent again.
TEST(StoreDecoder, DownloadIsIdempotent) {
  std::string Problem;
  const std::shared_ptr<const RouteTable> Table = decodeConfig(
      replaced(ConfigText, R"("idempotent")", R"("download")"), Problem);
  const VirtualRoute *Route = Table->find("h.example", "/a/b");
  CHECK(Route->Kind_ == RouteKind::Download);
  CHECK(Route->isIdempotent());
  CHECK(Table->config().UnknownKinds_.empty());
}

TEST(StoreDecoder, NonIdempotentKindIsKnown) {
  std::string Problem;
  const std::shared_ptr<const RouteTable> Table = decodeConfig(
      replaced(ConfigText, R"("idempotent")", R"("non_idempotent")"), Problem);
  CHECK_FALSE(Table->find("h.example", "/a/b")->isIdempotent());
  CHECK(Table->config().UnknownKinds_.empty());
}

// Guards against a configuration that cannot be decoded replacing a valid one.
TEST(StoreDecoder, MalformedConfigurationIsRejected) {
  for (const char *Text : {"{}", "", "[1]", R"({"Version":"zz"})"}) {
    std::string Problem;
    CHECK(decodeConfig(Text, Problem) == nullptr);
    CHECK_FALSE(Problem.empty());
  }
}

TEST(StoreDecoder, ChangesAndRemovalsAreDecoded) {
  // The value of servers/i-1 is base64 of a text that is not a target's entry.
  const std::string Body =
      R"({"events":[{"Key":"servers/i-1","Value":"bm9kZS0x","Revision":412,)"
      R"("Created":412,"Lease":1},{"Key":"servers/i-2","Revision":413,)"
      R"("Removed":true},{"Key":"else","Value":"!","Revision":414}],"AsOf":420})";
  PublishedRead Read;
  Read.Status_ = ReadStatus::Ok;
  decodeChanges(Body, Read);
  CHECK(Read.Status_ == ReadStatus::Ok);
  CHECK_EQUAL(420, Read.Revision_);
  CHECK_EQUAL(2, Read.Targets_.size());
  CHECK_FALSE(Read.Targets_[0].Entry_.has_value());
  CHECK(Read.Targets_[1].Id_ == TargetId("i-2"));
  CHECK_EQUAL(1, Read.Unusable_.size());
  CHECK(Read.Unusable_[0].Id_ == TargetId("i-1"));
  CHECK_EQUAL(412, Read.Unusable_[0].Revision_);
  CHECK_FALSE(Read.Unusable_[0].Problem_.empty());
  decodeChanges("{", Read);
  CHECK(Read.Status_ == ReadStatus::Failed);
}

TEST(StoreDecoder, NextPageBeginsAfterLastKey) {
  PublishedRead Read;
  Read.Status_ = ReadStatus::Ok;
  const std::optional<std::string> Next = decodePage(
      R"({"items":[{"Key":"servers/a","Value":"e30=","Revision":3}],)"
      R"("HasMore":true,"AsOf":10})",
      Read);
  CHECK(Next == std::optional<std::string>("servers/a"));
  CHECK_FALSE(decodePage(R"({"items":[],"HasMore":false,"AsOf":12})", Read)
                  .has_value());
  // The first page's revision is kept, so that changes between the pages are
  // read again.
  CHECK_EQUAL(10, Read.Revision_);
}

TEST_GROUP(PlatformAdapter) { PlatformAdapter Adapter_; };

TEST(PlatformAdapter, AddressCallIsParsedAndAnswered) {
  HttpMessage Call;
  Call.Method_ = "GET";
  Call.Target_ = "/resolve?Name=h.example&Region=lagos-west&Zone=ikeja";
  CHECK(Adapter_.parseAddressQuery(Call) ==
        (AddressQuery{"h.example", Region("lagos-west"),
                      FailureDomain("ikeja")}));
  const HttpMessage Answer =
      Adapter_.makeAddressResponse({Endpoint{"10.1.0.18", 8'381}}, ms(2'000));
  CHECK_EQUAL(std::string(R"({"Addresses":["10.1.0.18:8381"],"TtlS":2.0})"),
              Answer.Body_);
  Call.Target_ = "/other";
  CHECK_FALSE(Adapter_.parseAddressQuery(Call).has_value());
}

// Guards against an era that is taken as 0, after which revisions of two eras
// would be compared.
TEST(StoreDecoder, EraOfAnAnswerIsDecoded) {
  const auto Decoded = [](int Status, const char *Era) {
    PublishedRead Read;
    const std::string Text = Era ? Era : "";
    decodeHead(Status, Era ? &Text : nullptr, Read);
    return Read;
  };
  CHECK_EQUAL(3, Decoded(200, "3").Era_);
  CHECK_EQUAL(3, Decoded(410, "3").Era_);
  CHECK(Decoded(410, "3").Status_ == ReadStatus::HistoryGone);
  CHECK_EQUAL(0, Decoded(200, nullptr).Era_);
  CHECK(Decoded(200, nullptr).Status_ == ReadStatus::Ok);
  for (const char *Malformed : {"", "x", "-1", "3x"})
    CHECK(Decoded(200, Malformed).Status_ == ReadStatus::Failed);
}

// Guards against taking a document without a length that was cut, or joined
// with another one: only its JSON shows whether it is whole.
TEST(StoreDecoder, CutOrJoinedDocumentsFail) {
  const std::string Page =
      R"({"AsOf":7,"items":[{"Key":"a","Revision":3}],"HasMore":false})";
  const std::string Changes =
      R"({"AsOf":7,"events":[{"Key":"a","Revision":3}]})";
  const std::string Item = R"({"AsOf":7,"Key":"a","Revision":3})";
  const auto Check = [](const std::string &Document, auto Decode) {
    const auto StatusOf = [&](const std::string &Text) {
      PublishedRead Read;
      Read.Status_ = ReadStatus::Ok;
      Decode(Text, Read);
      return Read.Status_;
    };
    CHECK(StatusOf(Document) == ReadStatus::Ok);
    for (std::size_t Size = 0; Size < Document.size(); ++Size)
      CHECK_TEXT(StatusOf(Document.substr(0, Size)) == ReadStatus::Failed,
                 Document.substr(0, Size).c_str());
    for (const std::string &Behind :
         {std::string("x"), std::string("HTTP/1.1 200 OK\r\n\r\n"), Document})
      CHECK_TEXT(StatusOf(Document + Behind) == ReadStatus::Failed,
                 Behind.c_str());
  };
  Check(Page, decodePage);
  Check(Changes, decodeChanges);
  Check(Item, decodeItem);
}

// Guards against a process that runs out of memory with one answer: 8 MB of
// nested arrays took 600 MB when parsed.
TEST(StoreDecoder, DeeplyNestedAnswerIsNotParsedToItsEnd) {
  const auto PageWithArrays = [](std::size_t Depth) {
    return R"({"AsOf":1,"items":[],"New":)" + std::string(Depth, '[') +
           std::string(Depth, ']') + "}";
  };
  PublishedRead Read;
  Read.Status_ = ReadStatus::Ok;
  decodePage(PageWithArrays(10), Read);
  CHECK(Read.Status_ == ReadStatus::Ok);
  decodePage(PageWithArrays(1'000), Read);
  CHECK(Read.Status_ == ReadStatus::Failed);
  CHECK_TEXT(Read.Detail_.ends_with("JSON is nested too deeply"),
             Read.Detail_.c_str());
}
