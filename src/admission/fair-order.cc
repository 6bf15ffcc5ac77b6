// Start-time fair queueing of workspaces. See fair-order.h.

#include "kumquatpitch/admission/fair-order.h"

#include <algorithm>
#include <tuple>

namespace kumquatpitch {

namespace {

bool isSameClass(const QueuedRequest &Left, const QueuedRequest &Right) {
  return Left.IsLate_ == Right.IsLate_ && Left.Priority_ == Right.Priority_;
}

bool goesBefore(const QueuedRequest &Left, const QueuedRequest &Right) {
  return std::tie(Left.IsLate_, Left.Priority_, Left.DueAt_) <
         std::tie(Right.IsLate_, Right.Priority_, Right.DueAt_);
}

} // namespace

double FairOrder::startTag(const WorkspaceName &Workspace) const {
  const std::map<WorkspaceName, double>::const_iterator It =
      FinishTags_.find(Workspace);
  return It == FinishTags_.end() ? VirtualTime_
                                 : std::max(VirtualTime_, It->second);
}

void FairOrder::sort(std::vector<QueuedRequest> &Requests) const {
  std::stable_sort(Requests.begin(), Requests.end(), goesBefore);
  std::vector<QueuedRequest>::iterator Begin = Requests.begin();
  while (Begin != Requests.end()) {
    const std::vector<QueuedRequest>::iterator End =
        std::find_if(Begin, Requests.end(), [&](const QueuedRequest &Other) {
          return !isSameClass(*Begin, Other);
        });
    // The tags are those that the requests would get if they were started in
    // this order. A request that leaves the queue unserved costs its workspace
    // nothing.
    std::map<WorkspaceName, double> NextTags;
    std::vector<std::pair<double, QueuedRequest>> Tagged;
    Tagged.reserve(static_cast<std::size_t>(std::distance(Begin, End)));
    for (std::vector<QueuedRequest>::iterator It = Begin; It != End; ++It) {
      double &Next =
          NextTags.try_emplace(It->Workspace_, startTag(It->Workspace_))
              .first->second;
      Tagged.emplace_back(Next, *It);
      Next += 1 / It->Weight_;
    }
    std::stable_sort(Tagged.begin(), Tagged.end(),
                     [](const std::pair<double, QueuedRequest> &Left,
                        const std::pair<double, QueuedRequest> &Right) {
                       return Left.first < Right.first;
                     });
    std::transform(Tagged.begin(), Tagged.end(), Begin,
                   [](const std::pair<double, QueuedRequest> &Entry) {
                     return Entry.second;
                   });
    Begin = End;
  }
}

void FairOrder::started(const WorkspaceName &Workspace, double Weight) {
  const double Start = startTag(Workspace);
  VirtualTime_ = Start;
  FinishTags_[Workspace] = Start + 1 / Weight;
  if (FinishTags_.size() < PruneAt_)
    return;
  std::erase_if(FinishTags_,
                [&](const std::pair<const WorkspaceName, double> &Entry) {
                  return Entry.second <= VirtualTime_;
                });
  PruneAt_ = std::max(MinPruneSize, 2 * FinishTags_.size());
}

} // namespace kumquatpitch
