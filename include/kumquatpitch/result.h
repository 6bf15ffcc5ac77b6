// Result type that holds a value or a numbered failure, based on Boost.LEAF.

#ifndef KUMQUATPITCH_RESULT_H
#define KUMQUATPITCH_RESULT_H

#include "kumquatpitch/result-code.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace kumquatpitch {

/// A result code with a human-readable message.
struct Failure {
  ResultCode Code_ = ResultCode::InternalError;
  std::string Message_;

  bool operator==(const Failure &) const = default;
};

template <class T> using Result = boost::leaf::result<T>;

/// Creates a failure that converts to any Result.
inline boost::leaf::error_id fail(ResultCode Code, std::string Message) {
  return boost::leaf::new_error(Failure{Code, std::move(Message)});
}

/// Calls `Run`, which returns a Result<T>. Returns its value, or the return
/// value of `OnFailure` for the failure.
template <class Function, class Handler>
auto handleFailure(Function &&Run, Handler &&OnFailure) {
  return boost::leaf::try_handle_all(
      std::forward<Function>(Run),
      [&](const Failure &Cause) { return OnFailure(Cause); },
      [&] {
        return OnFailure(
            Failure{ResultCode::InternalError, "failure without a code"});
      });
}

} // namespace kumquatpitch

#endif
