// Writes and reads burn snapshots as JSON, for host-status and the burn
// command.

#ifndef KUMQUATPITCH_BURN_JSON_H
#define KUMQUATPITCH_BURN_JSON_H

#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/json-reader.h"

#include <nlohmann/json.hpp>

namespace kumquatpitch::detail {

/// Longest duration that a report may contain, in milliseconds: ten years.
constexpr std::uint64_t MaxReportedMs = 10ULL * 365 * 24 * 3'600'000;

nlohmann::json burnToJson(const BurnSnapshot &Value);

/// Reads an object that burnToJson wrote; errors are recorded in the reader.
BurnSnapshot readBurn(JsonReader &Reader);

} // namespace kumquatpitch::detail

#endif
