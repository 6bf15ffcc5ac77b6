// Tests the order of a service's queue under the load of a workspace that sends
// many times its usual.

#include "kumquatpitch/admission/fair-order.h"

#include "manual-time.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(FairOrder) {
  FairOrder Order_;
  std::vector<QueuedRequest> Queue_;

  void add(const char *Workspace, std::int64_t DueMs, double Weight = 1,
           std::uint32_t Route = 1, bool IsLate = false) {
    Queue_.push_back(QueuedRequest{Queue_.size(), IsLate,
                                   RequestPriority{0, Route}, atMs(DueMs),
                                   WorkspaceName(Workspace), Weight});
  }

  std::string sorted() {
    Order_.sort(Queue_);
    std::string Text;
    for (const QueuedRequest &Request : Queue_)
      Text += Request.Workspace_.empty() ? "-" : Request.Workspace_.str();
    return Text;
  }

  /// Starts `Count` requests while all `Weights` are backlogged; returns how
  /// many of each were started.
  std::map<std::string, int> startBacklogged(
      const std::map<std::string, double> &Weights, int Count) {
    std::map<std::string, int> Started;
    for (int Index = 0; Index < Count; ++Index) {
      Queue_.clear();
      for (const std::pair<const std::string, double> &Entry : Weights)
        for (int Request = 0; Request < 3; ++Request)
          add(Entry.first.c_str(), 100 + Request, Entry.second);
      Order_.sort(Queue_);
      ++Started[Queue_.front().Workspace_.str()];
      Order_.started(Queue_.front().Workspace_, Queue_.front().Weight_);
    }
    return Started;
  }
};

TEST(FairOrder, WorkspacesTakeTurnsWhateverOneOfThemSends) {
  for (int Index = 0; Index < 7; ++Index)
    add("a", 100 + Index);
  add("b", 500);
  add("c", 600);
  STRCMP_EQUAL("abcaaaaaa", sorted().c_str());
}

TEST(FairOrder, WithoutWorkspacesTheTimeDueDecides) {
  add("", 300);
  add("", 100);
  add("", 200);
  sorted();
  CHECK_EQUAL(1, Queue_[0].Index_);
  CHECK_EQUAL(2, Queue_[1].Index_);
  CHECK_EQUAL(0, Queue_[2].Index_);
}

TEST(FairOrder, LessUrgentRequestsNeverPassMoreUrgentOnes) {
  add("a", 100, 1, 2);
  add("a", 900, 1, 0);
  add("a", 901, 1, 0);
  add("b", 100, 1, 2);
  STRCMP_EQUAL("aaab", sorted().c_str());
  CHECK_EQUAL(0, Queue_[1].Priority_.Route_);
}

TEST(FairOrder, RequestsThatCannotBeInTimeGoLast) {
  add("a", 100, 1, 0, true);
  add("b", 900, 1, 2);
  STRCMP_EQUAL("ba", sorted().c_str());
}

TEST(FairOrder, BackloggedWorkspacesAreServedByTheirWeights) {
  const std::map<std::string, int> Started =
      startBacklogged({{"a", 1}, {"b", 2}, {"c", 5}}, 800);
  CHECK(std::abs(Started.at("a") - 100) <= 1);
  CHECK(std::abs(Started.at("b") - 200) <= 2);
  CHECK(std::abs(Started.at("c") - 500) <= 2);
}

// A workspace that used slots which nobody wanted is not held back for it.
TEST(FairOrder, UseOfIdleSlotsIsNotCharged) {
  for (int Index = 0; Index < 1'000; ++Index)
    Order_.started(WorkspaceName("a"), 1);
  const std::map<std::string, int> Started =
      startBacklogged({{"a", 1}, {"b", 1}}, 100);
  CHECK(std::abs(Started.at("a") - 50) <= 1);
}

// Workspaces that come and go leave no state behind.
TEST(FairOrder, ManyWorkspacesAreOrderedAlike) {
  for (int Index = 0; Index < 10'000; ++Index)
    Order_.started(WorkspaceName("w" + std::to_string(Index)), 1);
  add("w1", 100);
  add("w9999", 100);
  STRCMP_EQUAL("w1w9999", sorted().c_str());
}
