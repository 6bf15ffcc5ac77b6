// What the head of a response says about the end of its connection. A response
// without a length is complete when its connection ends, so that this tells
// whether the end was to be expected. Used by call-report and HttpClient.

#ifndef KUMQUATPITCH_ANNOUNCED_END_H
#define KUMQUATPITCH_ANNOUNCED_END_H

#include "kumquatpitch/message-parser.h"

#include <cstdint>

namespace kumquatpitch {

enum class AnnouncedEnd : std::uint8_t {
  Nothing,  ///< The head says nothing about it.
  Close,    ///< The server closes the connection after the response.
  KeepOpen, ///< The server keeps the connection for further requests.
};

/// Reads `Connection` and `Keep-Alive`. A head that says both counts as Close.
/// Without either, HTTP/1.0 means Close.
AnnouncedEnd announcedEnd(const HttpMessage &Response);

/// Name for logs, such as `close`.
const char *announcedEndName(AnnouncedEnd End);

} // namespace kumquatpitch

#endif
