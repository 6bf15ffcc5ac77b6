// Injects the faults of answers into the soak's targets. They have random
// numbers of their own, so that the seeds keep their order of the other faults.

#ifndef KUMQUATPITCH_SOAK_ANSWER_FAULTS_H
#define KUMQUATPITCH_SOAK_ANSWER_FAULTS_H

#include "soak-target.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <utility>

namespace kumquatpitch::test {

class SoakAnswerFaults {
public:
  /// Picks one of the targets by any number.
  using TargetPicker = std::function<SoakTarget &(std::uint64_t)>;

  SoakAnswerFaults(asio::io_context &Context, std::uint64_t Seed,
                   TargetPicker PickTarget)
      : Context_(Context), Random_(Seed * 1'000 + 1),
        PickTarget_(std::move(PickTarget)) {}

  /// Injects faults, which may overlap, until stop().
  void start() { injectNext(); }
  /// Faults that have begun still last their time.
  void stop() { IsStopped_ = true; }
  int count() const { return Count_; }

private:
  using Milliseconds = std::chrono::milliseconds;

  void injectNext() {
    if (IsStopped_)
      return;
    ++Count_;
    constexpr AnswerFault Kinds[] = {
        AnswerFault::CopyInside, AnswerFault::CopyBehind, AnswerFault::NoLength,
        AnswerFault::NoLengthCut};
    SoakTarget &Target = PickTarget_(Random_());
    const AnswerFault Kind = Kinds[Random_() % std::size(Kinds)];
    Target.setAnswerFault(Kind, 10 + static_cast<int>(Random_() % 50));
    after(Milliseconds(500 + Random_() % 1'500),
          [&Target] { Target.setAnswerFault(AnswerFault::None, 0); });
    after(Milliseconds(100 + Random_() % 400), [this] { injectNext(); });
  }

  void after(Milliseconds Delay, const std::function<void()> &Action) {
    const std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(Context_, Delay);
    Timer->async_wait([Timer, Action](const asio::error_code &Error) {
      if (!Error)
        Action();
    });
  }

  asio::io_context &Context_;
  std::mt19937_64 Random_;
  TargetPicker PickTarget_;
  int Count_ = 0;
  bool IsStopped_ = false;
};

} // namespace kumquatpitch::test

#endif
