// Client of the platform's HTTP protocol (docs/platform-protocol.md): reads and
// watches of keys.

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

namespace kumquatpitch {

class DocumentConnection;

/// Runs calls on a fixed number of threads with one connection each. A watch
/// occupies a thread for its whole wait, so there is one more thread than there
/// are concurrent watches. Callbacks run on these threads.
class HttpPlatformReader : public PlatformReader {
public:
  /// `Timeout` limits each call from connecting to the last byte, in addition
  /// to a watch's wait.
  HttpPlatformReader(const Endpoint &Platform, Duration Timeout);

  /// Aborts calls in progress; calls not yet started are completed with
  /// Unreachable.
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

  void enqueue(Call Pending);
  void runCalls(DocumentConnection &Connection);
  PlatformReply perform(DocumentConnection &Connection,
                        const Call &Pending) const;

  const Duration Timeout_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<Call> Queue_; ///< At most MaxQueuedCalls.
  bool Stopped_ = false;
  std::size_t RunningThreads_ = 0; ///< Threads that have not exited.
  std::vector<std::unique_ptr<DocumentConnection>> Connections_;
  std::vector<std::thread> Threads_;
};

} // namespace kumquatpitch

#endif
