// Names of outcomes. See attempt-outcome.h.

#include "kumquatpitch/attempt-outcome.h"

namespace kumquatpitch {

const char *attemptOutcomeName(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Success:
    return "success";
  case AttemptOutcome::Failure:
    return "failure";
  case AttemptOutcome::Refused:
    return "refused";
  case AttemptOutcome::OtherInstance:
    return "other_instance";
  case AttemptOutcome::NotConnected:
    return "not_connected";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

} // namespace kumquatpitch
