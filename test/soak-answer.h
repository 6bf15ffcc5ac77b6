// Composes what a faulty target of the soak writes in place of its answer: a
// second copy inside or behind it, or an answer without a length. No I/O: the
// same seed and the same answers give the same bytes. Used by SoakTarget.

#ifndef KUMQUATPITCH_SOAK_ANSWER_H
#define KUMQUATPITCH_SOAK_ANSWER_H

#include "answer-composer.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace kumquatpitch::test {

enum class AnswerFault : std::uint8_t {
  None,
  CopyInside, ///< A second copy in the middle of the answer.
  CopyBehind, ///< A second copy, late.
  /// The whole answer without a length. It announces the connection's end.
  NoLength,
  /// The first part of an answer without a length, and an orderly end, whether
  /// or not its head announces that.
  NoLengthCut,
};

class SoakAnswerComposer {
public:
  explicit SoakAnswerComposer(std::uint64_t Seed) : Random_(Seed) {}

  /// `Fault` affects `Percent` of the answers from now on.
  void setFault(AnswerFault Fault, int Percent) {
    Fault_ = Fault;
    Percent_ = Percent;
  }

  /// What the target writes. `Own` is the answer with its length, `Previous`
  /// that to the previous request on the connection, empty if there was none.
  ComposedAnswer compose(const std::string &Own, const std::string &Previous) {
    const bool IsFaulty = Fault_ != AnswerFault::None &&
                          static_cast<int>(Random_() % 100) < Percent_;
    ComposedAnswer Answer;
    FaultyAnswers_ += IsFaulty ? 1 : 0;
    const AnswerFault Fault = IsFaulty ? Fault_ : AnswerFault::None;
    Answer.Description_ = name(Fault);
    switch (Fault) {
    case AnswerFault::None:
      Answer.IsSound_ = true;
      add(Answer, Own, 0);
      break;
    case AnswerFault::CopyInside: {
      const std::size_t At = 1 + pick(Own.size() - 1);
      add(Answer, Own.substr(0, At), 0);
      add(Answer, secondCopy(Own, Previous), pickShortDelay());
      add(Answer, Own.substr(At), pickShortDelay());
      break;
    }
    case AnswerFault::CopyBehind:
      add(Answer, Own, 0);
      add(Answer, secondCopy(Own, Previous), pick(MaxDelayMs + 1));
      break;
    case AnswerFault::NoLength:
      Answer.IsSound_ = true;
      add(Answer, withoutLength(Own, "Connection: close\r\n"), 0);
      Answer.End_ = ConnectionEnd::Ended;
      break;
    case AnswerFault::NoLengthCut: {
      const std::string Whole =
          withoutLength(Own, pick(2) == 0 ? "Connection: close\r\n"
                                          : "Keep-Alive: timeout=5\r\n");
      add(Answer, cut(Whole, Whole.find("\r\n\r\n") + 4), 0);
      Answer.End_ = ConnectionEnd::Ended;
      break;
    }
    }
    return Answer;
  }

  /// Answers that a fault has affected.
  int faultyAnswers() const { return FaultyAnswers_; }

private:
  /// A second copy is at least this long. Of fewer bytes nothing can tell
  /// whether they belong to a body.
  static constexpr std::size_t MinCopyBytes = 6;
  static constexpr std::size_t MaxDelayMs = 450;
  static constexpr std::size_t MaxShortDelayMs = 30;

  static const char *name(AnswerFault Fault) {
    constexpr const char *Names[] = {"sound", "copy-inside", "copy-behind",
                                     "no-length", "no-length-cut"};
    return Names[static_cast<std::size_t>(Fault)];
  }

  std::size_t pick(std::size_t Bound) { return Random_() % Bound; }

  std::size_t pickShortDelay() {
    return pick(2) == 0 ? 0 : pick(MaxShortDelayMs + 1);
  }

  /// A first part of the text that is not all of it, of at least `Least` bytes.
  /// Half of the cuts are just before its end.
  std::string cut(const std::string &Text, std::size_t Least) {
    const std::size_t Range = Text.size() - Least;
    const std::size_t Size =
        pick(2) == 0 ? Least + pick(Range)
                     : Text.size() - 1 - pick(std::min<std::size_t>(Range, 8));
    return Text.substr(0, Size);
  }

  std::string secondCopy(const std::string &Own, const std::string &Previous) {
    const bool IsPrevious = !Previous.empty() && pick(3) == 0;
    const std::string &Copy = IsPrevious ? Previous : Own;
    return pick(2) == 0 ? Copy : cut(Copy, MinCopyBytes);
  }

  /// The answer with another header field in place of its length.
  static std::string withoutLength(std::string Answer,
                                   const std::string &Field) {
    const std::size_t At = Answer.find("Content-Length: ");
    return Answer.replace(At, Answer.find("\r\n", At) + 2 - At, Field);
  }

  static void add(ComposedAnswer &Answer, const std::string &Bytes,
                  std::size_t DelayMs) {
    Answer.Writes_.push_back(
        ComposedWrite{std::chrono::milliseconds(DelayMs), Bytes});
  }

  std::mt19937_64 Random_;
  AnswerFault Fault_ = AnswerFault::None;
  int Percent_ = 0;
  int FaultyAnswers_ = 0;
};

} // namespace kumquatpitch::test

#endif
