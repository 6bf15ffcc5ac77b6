// Composes what a faulty backend server writes for one request: its answer and
// a second one, each with any framing, cut at any byte, in any order and at any
// time, some without a valid status. No I/O: the same seed gives the same
// bytes. Used by composed-answers-test and composed-attempts-test.

#ifndef KUMQUATPITCH_ANSWER_COMPOSER_H
#define KUMQUATPITCH_ANSWER_COMPOSER_H

#include "odd-status-lines.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace kumquatpitch::test {

/// Names of the header fields that identify a request and its answer.
struct ComposedHeaders {
  std::string RequestId_ = "Kumquatpitch-Request-Id"; ///< In the request.
  std::string AnswerId_ = "Kumquatpitch-Request-Id";
  std::string AnswerSignature_ = "Kumquatpitch-Answer-Signature";
};

/// Bytes to write, this long after those before them.
struct ComposedWrite {
  std::chrono::milliseconds Delay_{};
  std::string Bytes_;
};

enum class ConnectionEnd : std::uint8_t { Kept, Ended, Reset };

struct ComposedAnswer {
  std::vector<ComposedWrite> Writes_;
  ConnectionEnd End_ = ConnectionEnd::Kept;
  /// One whole answer and nothing else.
  bool IsSound_ = false;
  /// The first part of an answer without a length, and an orderly end. Nothing
  /// on the connection tells it from a whole one.
  bool IsUntellable_ = false;
  /// No status in it is valid, so that no part of it is an answer.
  bool HasOddStatus_ = false;
  std::string Description_;
};

/// The body of the answer to a request: always the same for the same id.
inline std::string composedBody(const std::string &Id) {
  constexpr std::size_t Sizes[] = {0, 30, 500, 9'000, 72'800};
  constexpr char Characters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                "stuvwxyz0123456789/.: \r\n";
  std::seed_seq Seed(Id.begin(), Id.end());
  std::mt19937_64 Random(Seed);
  std::string Body(Sizes[Random() % std::size(Sizes)], ' ');
  Body.resize(Body.size() + Random() % (Body.size() / 4 + 1));
  for (char &Byte : Body)
    Byte = Characters[Random() % (sizeof Characters - 1)];
  return Body;
}

class AnswerComposer {
public:
  /// `Seed` names the run, `Name` the request and its attempt.
  AnswerComposer(std::uint64_t Seed, const std::string &Name,
                 const ComposedHeaders &Headers = {})
      : Headers_(Headers) {
    const std::string Text = std::to_string(Seed) + " " + Name;
    std::seed_seq Sequence(Text.begin(), Text.end());
    Random_.seed(Sequence);
    chooseStatusLine(Text + " status");
  }

  /// What the server writes for the request `Id` on a connection on which it
  /// has answered `OlderId` before; empty if there was none.
  ComposedAnswer compose(const std::string &Id, const std::string &OlderId) {
    ComposedAnswer Answer = composeAnswers(Id, OlderId);
    if (StatusLine_ == ValidStatusLine)
      return Answer;
    Answer.HasOddStatus_ = true;
    Answer.IsSound_ = false;
    Answer.IsUntellable_ = false;
    Answer.Description_ += ", status " + StatusLine_;
    return Answer;
  }

private:
  ComposedAnswer composeAnswers(const std::string &Id,
                                const std::string &OlderId) {
    ComposedAnswer Answer;
    const Framing OwnFraming = pickFraming();
    const std::string Own = response(Id, OwnFraming);
    if (pick(8) == 0) {
      Answer.IsSound_ = true;
      addWrites(Answer, Own, 0);
      Answer.End_ = OwnFraming == Framing::None ? ConnectionEnd::Ended
                                                : ConnectionEnd::Kept;
      Answer.Description_ = std::string("whole ") + name(OwnFraming);
      return Answer;
    }
    const Order Place = static_cast<Order>(pick(4));
    const std::string OwnPart = pick(3) == 0 ? Own : cut(Own, 1);
    const bool IsOlder = !OlderId.empty() && pick(3) == 0;
    const Framing SecondFraming = pickFraming();
    std::string Second = response(IsOlder ? OlderId : Id, SecondFraming);
    if (pick(2) == 0)
      Second = cut(Second, MinSecondBytes);
    Answer.Description_ =
        describe(Place, OwnFraming, Own.size(), OwnPart.size(), IsOlder,
                 SecondFraming, Second.size());
    switch (Place) {
    case Order::Alone:
      addWrites(Answer, OwnPart, 0);
      break;
    case Order::Behind:
      addWrites(Answer, OwnPart, 0);
      addWrites(Answer, Second, pickDelay());
      break;
    case Order::Inside: {
      if (pick(2) == 0)
        Second = Second.substr(0, MinSecondBytes + pick(150));
      const std::size_t At =
          1 + pick(pick(2) == 0 ? std::min<std::size_t>(Own.size(), 120)
                                : Own.size());
      Answer.Description_ += ", second cut to " + std::to_string(Second.size());
      addWrites(Answer, Own.substr(0, At), 0);
      addWrites(Answer, Second, pickDelay());
      addWrites(Answer, Own.substr(At), pickDelay());
      Answer.Description_ += " at " + std::to_string(At);
      break;
    }
    case Order::Before:
      addWrites(Answer, Second, 0);
      addWrites(Answer, OwnPart, pickDelay());
      break;
    }
    Answer.End_ = static_cast<ConnectionEnd>(pick(3));
    // An answer without a length would otherwise not end.
    if (OwnFraming == Framing::None && Answer.End_ == ConnectionEnd::Kept)
      Answer.End_ = ConnectionEnd::Ended;
    // Without a length nothing is pushed out by a part of a status line,
    // either.
    const bool IsCut = Place == Order::Alone && OwnPart.size() < Own.size();
    const bool HoldsFewBytes =
        Place == Order::Inside && Second.size() <= StatusLineBytes;
    Answer.IsUntellable_ = OwnFraming == Framing::None &&
                           (IsCut || HoldsFewBytes) &&
                           Answer.End_ == ConnectionEnd::Ended;
    return Answer;
  }

  enum class Framing : std::uint8_t { Length, Chunked, None };
  /// Where the second answer stands.
  enum class Order : std::uint8_t { Alone, Behind, Inside, Before };

  /// A second answer is at least this long. Of fewer bytes nothing can tell
  /// whether they belong to a body.
  static constexpr std::size_t MinSecondBytes = 6;
  static constexpr std::size_t StatusLineBytes = 13; ///< "HTTP/1.1 200 "
  static constexpr std::size_t MaxDelayMs = 450;
  static constexpr const char *ValidStatusLine = "200 OK";
  /// One in so many requests gets answers without a valid status.
  static constexpr std::size_t OddStatusPeriod = 12;

  /// Draws from a generator of its own: what Random_ composes for a seed stays
  /// the same.
  void chooseStatusLine(const std::string &Name) {
    std::seed_seq Sequence(Name.begin(), Name.end());
    std::mt19937_64 Random(Sequence);
    if (Random() % OddStatusPeriod != 0)
      return;
    StatusLine_ = OddStatusLines[Random() % OddStatusLines.size()];
    const std::string NextHead = "\r\n\r\nHTTP/1.1 ";
    switch (Random() % 3) {
    case 0:
      StatusLine_ = "100 Continue" + NextHead + StatusLine_;
      break;
    case 1:
      StatusLine_ += NextHead + ValidStatusLine;
      break;
    default:
      break;
    }
  }

  std::size_t pick(std::size_t Bound) { return Random_() % Bound; }
  Framing pickFraming() { return static_cast<Framing>(pick(3)); }

  std::size_t pickDelay() {
    return pick(2) == 0 ? 0 : pick(pick(2) == 0 ? 30 : MaxDelayMs);
  }

  static const char *name(Framing Kind) {
    return Kind == Framing::Length    ? "length"
           : Kind == Framing::Chunked ? "chunked"
                                      : "unframed";
  }

  /// A first part of the text that is not all of it, of at least `Least` bytes.
  std::string cut(const std::string &Text, std::size_t Least) {
    const std::size_t Range = Text.size() - Least;
    const std::size_t Size =
        pick(2) == 0 ? Least + pick(Range)
                     : Text.size() - 1 - pick(std::min<std::size_t>(Range, 8));
    return Text.substr(0, Size);
  }

  std::string response(const std::string &Id, Framing Kind) {
    const std::string Body = composedBody(Id);
    std::string Text = "HTTP/1.1 " + StatusLine_ + "\r\n" + Headers_.AnswerId_ +
                       ": " + Id + "\r\n" + Headers_.AnswerSignature_ + ": s" +
                       Id + "\r\n";
    if (Kind == Framing::Length)
      return Text + "Content-Length: " + std::to_string(Body.size()) +
             "\r\n\r\n" + Body;
    if (Kind == Framing::None)
      return Text + (pick(2) == 0 ? "Connection: close\r\n\r\n" : "\r\n") +
             Body;
    Text += "Transfer-Encoding: chunked\r\n\r\n";
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

  /// Adds the bytes in up to three writes.
  void addWrites(ComposedAnswer &Answer, const std::string &Bytes,
                 std::size_t DelayMs) {
    std::size_t At = 0;
    for (std::size_t Left = 1 + pick(3); Left > 0 && At < Bytes.size();
         --Left) {
      const std::size_t Rest = Bytes.size() - At;
      const std::size_t Size = Left == 1 ? Rest : 1 + pick(Rest);
      Answer.Writes_.push_back(ComposedWrite{std::chrono::milliseconds(DelayMs),
                                             Bytes.substr(At, Size)});
      At += Size;
      DelayMs = pick(2) * pick(20);
    }
  }

  static std::string describe(Order Place, Framing Own, std::size_t OwnBytes,
                              std::size_t OwnPart, bool IsOlder, Framing Second,
                              std::size_t SecondBytes) {
    constexpr const char *Places[] = {"alone", "behind", "inside", "before"};
    return std::string(name(Own)) + " " + std::to_string(OwnPart) + " of " +
           std::to_string(OwnBytes) + ", second " +
           Places[static_cast<std::size_t>(Place)] + " " +
           (IsOlder ? "older " : "own ") + name(Second) + " " +
           std::to_string(SecondBytes);
  }

  const ComposedHeaders Headers_;
  std::string StatusLine_ = ValidStatusLine; ///< Of all answers.
  std::mt19937_64 Random_;
};

} // namespace kumquatpitch::test

#endif
