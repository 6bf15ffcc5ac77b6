// The burn command's page: one self-contained HTML document. Pure.

#ifndef KUMQUATPITCH_BURN_HTML_H
#define KUMQUATPITCH_BURN_HTML_H

#include "kumquatpitch/burn-report.h"

#include <string>

namespace kumquatpitch {

/// `Text` with the characters that HTML gives a meaning replaced.
std::string htmlText(const std::string &Text);

/// Burn over six hours as an SVG element, on a logarithmic scale. Spans without
/// requests stay empty.
std::string burnPlot(const MergedBurn &Merged);

/// The page. `MadeAt` is shown as given, such as `2024-05-01 10:00 UTC`.
std::string formatBurnHtml(const BurnReport &Report, const std::string &MadeAt);

} // namespace kumquatpitch

#endif
