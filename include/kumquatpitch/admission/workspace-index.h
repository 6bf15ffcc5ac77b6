// The workspaces of a routing configuration and the look-up of a key's holder.
// Part of RouteTable, so a request sees routes and workspaces of one version.
// Immutable; no I/O and no clock.

#ifndef KUMQUATPITCH_ADMISSION_WORKSPACE_INDEX_H
#define KUMQUATPITCH_ADMISSION_WORKSPACE_INDEX_H

#include "kumquatpitch/admission/key-digest.h"
#include "kumquatpitch/name.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatpitch {

/// One workspace of the configuration.
struct WorkspaceSettings {
  WorkspaceName Name_;
  std::vector<KeyDigest> Keys_;
  std::uint32_t Priority_ = 0; ///< 0 is the highest; goes before a route's.
  double RatePerSecond_ = 0;   ///< Of all hosts together; 0 for no limit.
  double Burst_ = 0;           ///< Requests beyond the rate, at once.

  bool hasLimit() const { return RatePerSecond_ > 0; }

  bool operator==(const WorkspaceSettings &) const = default;
};

/// Look-up of workspaces by key. A key that two workspaces hold names neither,
/// since either would give one the other's data; the second entry of a name
/// adds its keys to the first, whose priority and limits hold.
class WorkspaceIndex {
public:
  WorkspaceIndex() = default;
  explicit WorkspaceIndex(const std::vector<WorkspaceSettings> &Workspaces);

  /// The workspace that holds the key; null if none does. The time of a look-up
  /// depends on the digest alone, so it does not show how much of a key is
  /// right.
  const WorkspaceSettings *find(const KeyDigest &Key) const;

  /// The workspace of that name; null if there is none.
  const WorkspaceSettings *find(const WorkspaceName &Name) const;

  /// The workspaces that have a limit, by name.
  std::vector<const WorkspaceSettings *> limited() const;

  /// What the configuration states twice, one short sentence each, without
  /// keys; at most MaxProblems.
  const std::vector<std::string> &problems() const { return Problems_; }
  static constexpr std::size_t MaxProblems = 20;

  /// Mean rate of the workspaces that have a limit; 1 when none has.
  double meanLimit() const { return MeanLimit_; }

  std::size_t size() const { return ByName_.size(); }

private:
  void addProblem(std::string Text);

  std::map<WorkspaceName, WorkspaceSettings> ByName_;
  /// Points into ByName_; null for a key that two workspaces hold.
  std::unordered_map<KeyDigest, const WorkspaceSettings *, KeyDigestHash>
      ByKey_;
  std::vector<std::string> Problems_;
  double MeanLimit_ = 1;
};

} // namespace kumquatpitch

#endif
