// HTML page of the burn command: one self-contained document. The functions do
// no I/O.

#ifndef KUMQUATPITCH_BURN_HTML_H
#define KUMQUATPITCH_BURN_HTML_H

#include "kumquatpitch/burn-report.h"

#include <string>

namespace kumquatpitch {

/// Escapes the characters of `Text` that have a meaning in HTML.
std::string escapeHtml(const std::string &Text);

/// Plots the burn rate over six hours as an SVG element, on a logarithmic
/// scale. Intervals without requests are left empty.
std::string formatBurnPlot(const MergedBurn &Merged);

/// Formats the page. `GeneratedAt` is shown as given, for example
/// `2024-05-01 10:00 UTC`.
std::string formatBurnHtml(const BurnReport &Report,
                           const std::string &GeneratedAt);

} // namespace kumquatpitch

#endif
