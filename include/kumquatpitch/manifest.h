// The manifest: version and hash of each part of the configuration that the
// platform publishes. Versions only increase.

#ifndef KUMQUATPITCH_MANIFEST_H
#define KUMQUATPITCH_MANIFEST_H

#include "kumquatpitch/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// One published part, such as `contract/imigongo` or `service/ledger`.
struct ManifestPart {
  std::string Name_;
  std::uint64_t Version_ = 0;
  std::string Hash_; ///< xxh3-128 of the part's bytes, 32 hexadecimal digits.
  std::uint64_t Bytes_ = 0;

  bool operator==(const ManifestPart &) const = default;
};

/// All parts of one configuration version.
struct Manifest {
  std::uint64_t Version_ = 0;
  std::vector<ManifestPart> Parts_; ///< Sorted by name, names are unique.

  bool operator==(const Manifest &) const = default;
};

/// Parses a manifest from JSON. Fails with the same codes as parseContract.
Result<Manifest> parseManifest(std::string_view Json);

/// Canonical JSON of a manifest; equal manifests give equal bytes.
std::string formatManifest(const Manifest &Value);

/// Part with the name `Name`, or null.
const ManifestPart *findPart(const Manifest &Value, std::string_view Name);

/// xxh3-128 of `Bytes` as 32 hexadecimal digits; equal on every build.
std::string contentHash(std::string_view Bytes);

} // namespace kumquatpitch

#endif
