// Answers that callers have not read. See unread-answers.h.

#include "kumquatpitch/unread-answers.h"

#include <vector>

namespace kumquatpitch {

std::uint64_t UnreadAnswers::add(std::size_t Bytes,
                                 std::function<void()> Drop) {
  std::vector<std::function<void()>> Drops;
  std::uint64_t Key = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Key = ++LastKey_;
    Answers_.emplace(Key, Answer{Bytes, std::move(Drop)});
    Bytes_ += Bytes;
    while (Bytes_ > MaxBytes_ && Answers_.size() > 1) {
      Answer &Oldest = Answers_.begin()->second;
      Bytes_ -= Oldest.Bytes_;
      Drops.push_back(std::move(Oldest.Drop_));
      Answers_.erase(Answers_.begin());
      ++Dropped_;
    }
  }
  for (const std::function<void()> &DropOne : Drops)
    DropOne();
  return Key;
}

void UnreadAnswers::remove(std::uint64_t Key) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const std::map<std::uint64_t, Answer>::iterator It = Answers_.find(Key);
  if (It == Answers_.end())
    return;
  Bytes_ -= It->second.Bytes_;
  Answers_.erase(It);
}

std::size_t UnreadAnswers::bytes() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Bytes_;
}

std::uint64_t UnreadAnswers::dropped() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Dropped_;
}

} // namespace kumquatpitch
