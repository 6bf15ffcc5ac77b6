// JSON of burn snapshots, for host-status and the burn command. Both directions
// of one format.

#ifndef KUMQUATPITCH_BURN_JSON_H
#define KUMQUATPITCH_BURN_JSON_H

#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/json-reader.h"

#include <nlohmann/json.hpp>

namespace kumquatpitch::detail {

/// Longest span in a report, in milliseconds: ten years.
constexpr std::uint64_t MaxReportedMs = 10ULL * 365 * 24 * 3'600'000;

nlohmann::json burnToJson(const BurnSnapshot &Value);

/// Reads what burnToJson wrote; problems go to the reader.
BurnSnapshot readBurn(JsonReader &Reader);

} // namespace kumquatpitch::detail

#endif
