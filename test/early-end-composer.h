// Composes what a server writes for a request in the troubles of answers that
// end early: answers without a length, whole or cut, cut answers that are
// framed, and second answers that come late. No I/O: the same seed gives the
// same bytes. Used by early-ends-process-test.

#ifndef KUMQUATPITCH_EARLY_END_COMPOSER_H
#define KUMQUATPITCH_EARLY_END_COMPOSER_H

#include "answer-composer.h"

namespace kumquatpitch::test {

/// Ids of requests for long bodies begin with this.
constexpr const char *LongBodyPrefix = "roll";

/// The body of the answer to a request, of up to about 180 kB for a long one.
inline std::string earlyEndBody(const std::string &Id) {
  const std::string Body = composedBody(Id);
  return Id.starts_with(LongBodyPrefix) ? Body + composedBody(Id + " rest")
                                        : Body;
}

class EarlyEndComposer {
public:
  /// `Name` names the server, the request and its attempt. Only a server that
  /// `MayLackLength` answers without a length.
  EarlyEndComposer(std::uint64_t Seed, const std::string &Name,
                   const ComposedHeaders &Headers, bool MayLackLength)
      : Headers_(Headers), MayLackLength_(MayLackLength) {
    const std::string Text = std::to_string(Seed) + " " + Name;
    std::seed_seq Sequence(Text.begin(), Text.end());
    Random_.seed(Sequence);
  }

  ComposedAnswer compose(const std::string &Id, const std::string &OlderId) {
    ComposedAnswer Answer;
    const std::size_t Draw = pick(100);
    if (Draw < UnframedPercent && MayLackLength_) {
      composeUnframed(Answer, Id);
      return Answer;
    }
    const bool IsChunked = pick(2) == 0;
    const std::string Whole = framed(Id, IsChunked);
    const std::size_t Other = pick(100);
    std::string Own = Whole;
    if (Other < CutPercent)
      Own = cut(Whole);
    Answer.Description_ = std::string(IsChunked ? "chunked " : "length ") +
                          std::to_string(Own.size()) + " of " +
                          std::to_string(Whole.size());
    addWrites(Answer, Own);
    Answer.IsSound_ = Other >= CutPercent + SecondPercent;
    if (Answer.IsSound_)
      return Answer;
    const std::size_t Way = Other < CutPercent ? pick(3) : 2;
    if (Way == 2)
      addSecond(Answer, Id, OlderId);
    else
      setEnd(Answer, Way == 0 ? ConnectionEnd::Ended : ConnectionEnd::Reset);
    return Answer;
  }

private:
  /// In the users' troubles 5 of 100 answers lack a length, and 3 of 100 come
  /// twice. These rates give a run of some seconds enough cases.
  static constexpr std::size_t UnframedPercent = 20;
  static constexpr std::size_t CutPercent = 6;
  static constexpr std::size_t SecondPercent = 10;
  static constexpr std::size_t MinSecondDelayMs = 50;
  static constexpr std::size_t MaxSecondDelayMs = 400;
  static constexpr std::size_t MaxServiceMs = 20;

  std::size_t pick(std::size_t Bound) { return Random_() % Bound; }

  static void setEnd(ComposedAnswer &Answer, ConnectionEnd End) {
    Answer.End_ = End;
    Answer.Description_ += End == ConnectionEnd::Ended ? ", ended" : ", reset";
  }

  std::string head(const std::string &Id) const {
    return "HTTP/1.1 200 OK\r\n" + Headers_.AnswerId_ + ": " + Id + "\r\n" +
           Headers_.AnswerSignature_ + ": s" + Id + "\r\n";
  }

  void composeUnframed(ComposedAnswer &Answer, const std::string &Id) {
    const bool IsAnnounced = pick(2) == 0;
    const std::string Head =
        head(Id) + (IsAnnounced ? "Connection: close\r\n\r\n" : "\r\n");
    const std::string Body = earlyEndBody(Id);
    const bool IsCut = pick(2) == 0;
    const std::string Part = IsCut ? cut(Body) : Body;
    Answer.Description_ = std::string(IsAnnounced ? "announced end, " : "") +
                          "no length " + std::to_string(Part.size()) + " of " +
                          std::to_string(Body.size());
    addWrites(Answer, Head + Part);
    setEnd(Answer,
           IsCut && pick(2) == 0 ? ConnectionEnd::Reset : ConnectionEnd::Ended);
    Answer.IsUntellable_ = IsCut && Answer.End_ == ConnectionEnd::Ended;
  }

  /// A second answer, of this request or the one before it, whole or cut.
  void addSecond(ComposedAnswer &Answer, const std::string &Id,
                 const std::string &OlderId) {
    const bool IsOlder = !OlderId.empty() && pick(3) == 0;
    std::string Second = framed(IsOlder ? OlderId : Id, pick(2) == 0);
    const bool IsCut = pick(2) == 0;
    if (IsCut)
      Second = cut(Second);
    const std::size_t DelayMs =
        MinSecondDelayMs + pick(MaxSecondDelayMs - MinSecondDelayMs);
    Answer.Writes_.push_back(
        ComposedWrite{std::chrono::milliseconds(DelayMs), Second});
    Answer.Description_ +=
        std::string(", second ") + (IsOlder ? "older " : "own ") +
        (IsCut ? "cut" : "whole") + " after " + std::to_string(DelayMs) + " ms";
  }

  std::string framed(const std::string &Id, bool IsChunked) {
    const std::string Body = earlyEndBody(Id);
    if (!IsChunked)
      return head(Id) + "Content-Length: " + std::to_string(Body.size()) +
             "\r\n\r\n" + Body;
    std::string Text = head(Id) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t At = 0; At < Body.size();) {
      const std::size_t Size =
          std::min(1 + pick(Body.size()), Body.size() - At);
      char Line[32];
      std::snprintf(Line, sizeof Line, "%zx\r\n", Size);
      Text += Line + Body.substr(At, Size) + "\r\n";
      At += Size;
    }
    return Text + "0\r\n\r\n";
  }

  /// A first part of the text that is not all of it.
  std::string cut(const std::string &Text) {
    return Text.empty() ? Text : Text.substr(0, pick(Text.size()));
  }

  /// Adds the bytes in up to three writes, the first after the time that the
  /// server works on the request.
  void addWrites(ComposedAnswer &Answer, const std::string &Bytes) {
    std::size_t At = 0;
    for (std::size_t Left = 1 + pick(3); Left > 0 && At < Bytes.size();
         --Left) {
      const std::size_t Rest = Bytes.size() - At;
      const std::size_t Size = Left == 1 ? Rest : 1 + pick(Rest);
      Answer.Writes_.push_back(
          ComposedWrite{std::chrono::milliseconds(pick(MaxServiceMs)),
                        Bytes.substr(At, Size)});
      At += Size;
    }
  }

  const ComposedHeaders Headers_;
  const bool MayLackLength_;
  std::mt19937_64 Random_;
};

} // namespace kumquatpitch::test

#endif
