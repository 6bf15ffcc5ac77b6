// Results that carry a value or a numbered failure, by Boost.LEAF.

#ifndef KUMQUATPITCH_RESULT_H
#define KUMQUATPITCH_RESULT_H

#include "kumquatpitch/result-code.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace kumquatpitch {

/// A numbered failure with a message for a person.
struct Failure {
  ResultCode Code_ = ResultCode::InternalError;
  std::string Message_;

  bool operator==(const Failure &) const = default;
};

template <class T> using Result = boost::leaf::result<T>;

/// Makes the failing side of a Result.
inline boost::leaf::error_id fail(ResultCode Code, std::string Message) {
  return boost::leaf::new_error(Failure{Code, std::move(Message)});
}

/// Runs `Body`, which gives a Result<T>; gives its T, or what `OnFailure` makes
/// of the failure.
template <class Body, class Handler>
auto handleFailure(Body &&Run, Handler &&OnFailure) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(Run),
      [&](const Failure &Cause) { return OnFailure(Cause); },
      [&] {
        return OnFailure(
            Failure{ResultCode::InternalError, "failure without a code"});
      });
}

} // namespace kumquatpitch

#endif
