// Judges what a caller of the soak got: whether a success that is complete by
// its framing is its target's whole answer and nothing else.

#ifndef KUMQUATPITCH_SOAK_JUDGE_H
#define KUMQUATPITCH_SOAK_JUDGE_H

#include "kumquatpitch/http-client.h"

#include "soak-target.h"

#include <string>

namespace kumquatpitch::test {

/// Statuses from 200 to 299.
inline bool isSuccess(const HttpMessage &Answer) {
  return Answer.Status_ >= 200 && Answer.Status_ < 300;
}

/// True if the callers' client refused the content of an answer that was
/// complete by its framing, or invalid. The client is the product's own; a
/// caller that goes by the framing alone takes the answer. An answer that broke
/// off, or none, is not meant, and neither is a failed write.
inline bool isRefusedContent(const CallResult &Result) {
  return Result.End_ == CallEnd::Broken &&
         Result.Detail_.find("response") != std::string::npos &&
         !Result.Detail_.starts_with("response truncated") &&
         !Result.Detail_.starts_with("no response") &&
         !Result.Detail_.starts_with("no memory left");
}

/// What is wrong with an answer that a caller got; empty if nothing is. Only
/// successes are promised. `Record` is that of the request.
inline std::string faultOfAnswer(const CallResult &Result,
                                 const std::string &Id,
                                 const ExecutionRecord &Record) {
  if (isRefusedContent(Result))
    return Id + " " + Result.Detail_;
  const HttpMessage &Answer = Result.Answer_;
  if (Result.End_ != CallEnd::Answered || !isSuccess(Answer))
    return "";
  const std::string Start = " got " + Answer.Body_.substr(0, 40);
  const std::string Body = soakBody(Id, Record.Service_);
  if (Answer.Body_ != Body)
    return Id + " " + std::to_string(Answer.Body_.size()) + " of " +
           std::to_string(Body.size()) + " bytes," + Start;
  if (Answer.headerCount("Response-Seal") != 1 ||
      *Answer.header("Response-Seal") != "s")
    return Id + " seal," + Start;
  if (Result.StrayBytes_ > 0)
    return Id + " " + std::to_string(Result.StrayBytes_) + " bytes behind," +
           Start;
  return "";
}

} // namespace kumquatpitch::test

#endif
