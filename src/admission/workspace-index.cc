// Index of workspaces by key. See workspace-index.h.

#include "kumquatpitch/admission/workspace-index.h"

namespace kumquatpitch {

WorkspaceIndex::WorkspaceIndex(
    const std::vector<WorkspaceSettings> &Workspaces) {
  for (const WorkspaceSettings &Workspace : Workspaces) {
    const std::pair<std::map<WorkspaceName, WorkspaceSettings>::iterator, bool>
        Added = ByName_.emplace(Workspace.Name_, Workspace);
    WorkspaceSettings &Known = Added.first->second;
    if (!Added.second) {
      addProblem("workspace " + Workspace.Name_.str() + " is listed twice");
      Known.Keys_.insert(Known.Keys_.end(), Workspace.Keys_.begin(),
                         Workspace.Keys_.end());
    }
  }
  for (const std::pair<const WorkspaceName, WorkspaceSettings> &Entry : ByName_)
    for (const KeyDigest &Key : Entry.second.Keys_) {
      const auto It = ByKey_.emplace(Key, &Entry.second).first;
      if (It->second == &Entry.second)
        continue;
      addProblem("key " + shortText(Key) + " of workspace " +
                 Entry.second.Name_.str() + " is held by another, too");
      It->second = nullptr;
    }
  const std::vector<const WorkspaceSettings *> Limited = limited();
  double Sum = 0;
  for (const WorkspaceSettings *Workspace : Limited)
    Sum += Workspace->RatePerSecond_;
  if (!Limited.empty())
    MeanLimit_ = Sum / static_cast<double>(Limited.size());
}

const WorkspaceSettings *WorkspaceIndex::find(const KeyDigest &Key) const {
  const auto It = ByKey_.find(Key);
  return It == ByKey_.end() ? nullptr : It->second;
}

const WorkspaceSettings *WorkspaceIndex::find(const WorkspaceName &Name) const {
  const std::map<WorkspaceName, WorkspaceSettings>::const_iterator It =
      ByName_.find(Name);
  return It == ByName_.end() ? nullptr : &It->second;
}

std::vector<const WorkspaceSettings *> WorkspaceIndex::limited() const {
  std::vector<const WorkspaceSettings *> Limited;
  for (const std::pair<const WorkspaceName, WorkspaceSettings> &Entry : ByName_)
    if (Entry.second.hasLimit())
      Limited.push_back(&Entry.second);
  return Limited;
}

void WorkspaceIndex::addProblem(std::string Text) {
  if (Problems_.size() < MaxProblems)
    Problems_.push_back(std::move(Text));
}

} // namespace kumquatpitch
