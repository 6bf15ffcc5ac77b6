// Counts the answers that callers have not read, and chooses which of them to
// drop when they hold too much memory. Used by CallerSession; no sockets.

#ifndef KUMQUATPITCH_UNREAD_ANSWERS_H
#define KUMQUATPITCH_UNREAD_ANSWERS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace kumquatpitch {

/// May be used by several threads.
class UnreadAnswers {
public:
  explicit UnreadAnswers(std::size_t MaxBytes) : MaxBytes_(MaxBytes) {}

  /// Counts an answer and returns its key. While all together exceed the limit,
  /// the oldest ones are removed and their `Drop` is called: their callers have
  /// had the most time to read. The new one stays, whatever its size.
  std::uint64_t add(std::size_t Bytes, std::function<void()> Drop);

  /// Has no effect for a key that is not there.
  void remove(std::uint64_t Key);

  std::size_t bytes() const;
  /// Answers that were dropped so far.
  std::uint64_t dropped() const;

private:
  struct Answer {
    std::size_t Bytes_ = 0;
    std::function<void()> Drop_;
  };

  const std::size_t MaxBytes_;
  mutable std::mutex Mutex_;
  std::map<std::uint64_t, Answer> Answers_; ///< By key, the oldest first.
  std::size_t Bytes_ = 0;                   ///< Sum of Answers_.
  std::uint64_t LastKey_ = 0;
  std::uint64_t Dropped_ = 0;
};

} // namespace kumquatpitch

#endif
