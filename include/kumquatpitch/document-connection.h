// One HTTP connection on which documents are read: those of the platform and
// the status reports of hosts. Limits what the HTTP library does not: the time
// of a whole answer, its head and its bytes.

#ifndef KUMQUATPITCH_DOCUMENT_CONNECTION_H
#define KUMQUATPITCH_DOCUMENT_CONNECTION_H

#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/spliced-response.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <httplib.h>
#include <string>

namespace kumquatpitch {

/// Result of reading one document.
struct DocumentAnswer {
  httplib::Error Error_ = httplib::Error::Unknown;
  bool IsTooLarge_ = false;    ///< The document exceeded the limit.
  httplib::Response Response_; ///< Valid when Error_ is Success.
};

class DocumentConnection : public httplib::ClientImpl {
public:
  explicit DocumentConnection(const Endpoint &Server);

  /// Reads the document at `Path` with at most `MaxBytes` after decompression.
  /// Connecting and the whole answer take at most `Timeout`. Succeeds with any
  /// status, if the answer is one complete message; one without a length ends
  /// with its connection.
  DocumentAnswer get(const std::string &Path, const httplib::Headers &Headers,
                     Duration Timeout, std::size_t MaxBytes);

private:
  using Clock = std::chrono::steady_clock;

  bool
  process_socket(const Socket &Opened,
                 std::function<bool(httplib::Stream &)> HandleRequest) override;

  /// Closes an open connection on which something was received: its end, or
  /// bytes behind an answer, which would be read as the next answer.
  void closeIfUsedUp();

  Clock::time_point Deadline_{}; ///< Of the current answer.
  bool HasBytesBehind_ = false;  ///< Read behind the last answer.
  CarriedRequestIds CarriedIds_; ///< Empty: a document has no id.
  SplicedResponseScan Scan_;
};

} // namespace kumquatpitch

#endif
