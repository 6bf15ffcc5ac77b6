// Platform reads over HTTP, as docs/platform-protocol.md says.

#ifndef KUMQUATPITCH_HTTP_PLATFORM_READER_H
#define KUMQUATPITCH_HTTP_PLATFORM_READER_H

#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/platform-reader.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace kumquatpitch {

/// Runs calls on a fixed number of threads with one connection each. A watch
/// holds a thread for its whole wait, so there is one thread more than there
/// are watches at a time. Callbacks run on these threads.
class HttpPlatformReader : public PlatformReader {
public:
  /// `Timeout` bounds connecting and each reply, on top of a watch's wait.
  HttpPlatformReader(const Endpoint &Platform, Duration Timeout);

  /// Ends calls in progress; calls not yet started get Unreachable.
  ~HttpPlatformReader() override;

  HttpPlatformReader(const HttpPlatformReader &) = delete;
  HttpPlatformReader &operator=(const HttpPlatformReader &) = delete;

  void read(const std::string &Key, Callback OnReply) override;
  void watch(const std::string &Key, std::uint64_t After, Duration Wait,
             Callback OnReply) override;

private:
  struct Call {
    std::string Key_;
    std::string Path_;
    Duration Wait_{};
    Callback OnReply_;
  };

  void enqueue(Call Next);
  void work(httplib::Client &Connection);
  PlatformReply perform(httplib::Client &Connection, const Call &Next) const;

  const Duration Timeout_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<Call> Queue_; ///< At most MaxQueuedCalls.
  bool Stopped_ = false;
  std::size_t Working_ = 0; ///< Threads that have not ended.
  std::vector<std::unique_ptr<httplib::Client>> Connections_;
  std::vector<std::thread> Threads_;
};

} // namespace kumquatpitch

#endif
