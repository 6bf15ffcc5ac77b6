// Logs and counters of answers. See call-report.h.

#include "kumquatpitch/call-report.h"

#include "kumquatpitch/announced-end.h"

namespace kumquatpitch {

bool isRoutineAnswer(const CallResult &Result) {
  return !Result.IsEarly_ && !Result.WasHeld_ &&
         Result.SkippedResponses_ == 0 && Result.StrayBytes_ == 0 &&
         bodyFraming(Result.Answer_) != BodyFraming::UntilClose;
}

void countAnswer(Metrics &Counters, const CallResult &Result) {
  const BodyFraming Framing = bodyFraming(Result.Answer_);
  Counters.count(std::string("answers_") + bodyFramingName(Framing));
  if (Framing == BodyFraming::UntilClose)
    Counters.count(std::string("answers_until_close_announced_") +
                   announcedEndName(announcedEnd(Result.Answer_)));
  if (Result.IsEarly_)
    Counters.count("answers_early");
  if (Result.WasHeld_)
    Counters.count("answers_held");
  if (Result.StrayBytes_ > 0)
    Counters.count("answers_with_stray_bytes");
}

std::string describeAnswer(const CallResult &Result, const std::string &Load) {
  const HttpMessage &Answer = Result.Answer_;
  const BodyFraming Framing = bodyFraming(Answer);
  std::string Text = "status " + std::to_string(Answer.Status_) + " load " +
                     Load + " " + bodyFramingName(Framing) + " " +
                     std::to_string(Answer.Body_.size());
  if (Framing == BodyFraming::UntilClose)
    Text.append(" announced ").append(announcedEndName(announcedEnd(Answer)));
  if (Result.IsEarly_)
    Text.append(" early");
  if (Result.WasHeld_)
    Text.append(" held");
  if (Result.SkippedResponses_ > 0)
    Text.append(" skipped ").append(std::to_string(Result.SkippedResponses_));
  if (Result.StrayBytes_ > 0)
    Text.append(" stray ").append(std::to_string(Result.StrayBytes_));
  return Text;
}

void reportIdleBytes(EventLog &Log, Metrics &Counters,
                     const IdleBytes &Received) {
  Counters.count("idle_connections_with_bytes");
  const bool IsResponse = Received.Start_.starts_with("HTTP/");
  Log.write(LogLevel::Info, "attempt", "idle_bytes",
            {{"id", Received.LastRequestId_},
             {"address", Received.Server_.Address_ + ":" +
                             std::to_string(Received.Server_.Port_)},
             {"bytes", std::to_string(Received.Size_)},
             {"response", IsResponse ? "1" : "0"}});
}

} // namespace kumquatpitch
