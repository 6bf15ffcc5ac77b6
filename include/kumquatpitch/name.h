// Strongly typed names, so that for example a host id cannot be passed where a
// target id is expected.

#ifndef KUMQUATPITCH_NAME_H
#define KUMQUATPITCH_NAME_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatpitch {

/// A name of the kind `Tag`. Names of different kinds do not convert.
template <class Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text_(std::move(Text)) {}

  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  bool operator==(const Name &) const = default;
  std::strong_ordering operator<=>(const Name &) const = default;

private:
  std::string Text_;
};

using HostId = Name<struct HostTag>;
using TargetId = Name<struct TargetTag>;
using ServiceName = Name<struct ServiceTag>;
using CustomerName = Name<struct CustomerTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using Region = Name<struct RegionTag>;
using WorkspaceName = Name<struct WorkspaceTag>;

/// Identifies one run of a daemon: a random number chosen at start, never zero.
using Incarnation = std::uint64_t;

/// Longest accepted name in bytes.
constexpr std::size_t MaxNameBytes = 63;

/// True when `Text` is 1 to MaxNameBytes characters of [a-z0-9-] and starts
/// with a letter or digit.
bool isValidName(std::string_view Text);

} // namespace kumquatpitch

template <class Tag> struct std::hash<kumquatpitch::Name<Tag>> {
  std::size_t operator()(const kumquatpitch::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
