// What logs and counters tell of the answers of backend servers: how the end of
// each was told, and what else arrived with it. Used by GatewayFront.

#ifndef KUMQUATPITCH_CALL_REPORT_H
#define KUMQUATPITCH_CALL_REPORT_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/http-client.h"
#include "kumquatpitch/metrics.h"

#include <string>

namespace kumquatpitch {

/// True for an answer of which a sample in the log is enough: it was told by
/// its length or its last chunk, came after the request was sent, and nothing
/// else came with it.
bool isRoutineAnswer(const CallResult &Result);

/// Counts an answer by its framing and by what is unusual about it.
void countAnswer(Metrics &Counters, const CallResult &Result);

/// Text for the log, such as `status 200 load 1,0,3 length 5000 early`. `Load`
/// is the server's own report.
std::string describeAnswer(const CallResult &Result, const std::string &Load);

/// Logs and counts bytes that a server sent without being asked.
void reportIdleBytes(EventLog &Log, Metrics &Counters,
                     const IdleBytes &Received);

} // namespace kumquatpitch

#endif
