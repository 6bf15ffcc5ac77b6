// Platform client over cpp-httplib. See http-platform-reader.h.

#include "kumquatpitch/http-platform-reader.h"

#include "kumquatpitch/contract.h"
#include "kumquatpitch/document-connection.h"

#include <charconv>
#include <httplib.h>

namespace kumquatpitch {

namespace {

constexpr std::size_t WorkerThreads = 4;
constexpr std::size_t MaxQueuedCalls = 256;
constexpr std::chrono::milliseconds StopInterval{10};
constexpr const char *VersionHeader = "Kumquatpitch-Version";
constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusNotFound = 404;

/// Returns false when the text is not a whole number.
bool parseNumber(const std::string &Text, std::uint64_t &Value) {
  const char *const End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Value);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

/// Returns Content-Length, which is the size before decompression, or without
/// it the size of the body.
std::uint64_t wireBytes(const httplib::Response &Reply) {
  std::uint64_t Length = 0;
  return parseNumber(Reply.get_header_value("Content-Length"), Length)
             ? Length
             : Reply.body.size();
}

PlatformStatus statusOf(const httplib::Response &Reply,
                        std::uint64_t &Version) {
  if (Reply.status == StatusNotFound)
    return PlatformStatus::UnknownKey;
  if (Reply.status == StatusNoContent)
    return PlatformStatus::Unchanged;
  if (Reply.status != StatusOk)
    return PlatformStatus::Unreachable;
  const bool IsDelimited =
      Reply.has_header("Content-Length") ||
      Reply.get_header_value("Transfer-Encoding") == "chunked";
  if (!IsDelimited ||
      !parseNumber(Reply.get_header_value(VersionHeader), Version) ||
      Reply.body.empty())
    return PlatformStatus::Malformed;
  return PlatformStatus::Value;
}

} // namespace

HttpPlatformReader::HttpPlatformReader(const Endpoint &Platform,
                                       Duration Timeout)
    : Timeout_(Timeout) {
  for (std::size_t Index = 0; Index < WorkerThreads; ++Index)
    Connections_.push_back(std::make_unique<DocumentConnection>(Platform));
  RunningThreads_ = Connections_.size();
  for (const std::unique_ptr<DocumentConnection> &Connection : Connections_)
    Threads_.emplace_back([this, &Connection] { runCalls(*Connection); });
}

HttpPlatformReader::~HttpPlatformReader() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
  // stop() has no effect on a call that has not opened its socket yet, so it is
  // repeated until every thread has exited.
  while (RunningThreads_ > 0) {
    Lock.unlock();
    for (const std::unique_ptr<DocumentConnection> &Connection : Connections_)
      Connection->stop();
    Lock.lock();
    Changed_.wait_for(Lock, StopInterval,
                      [this] { return RunningThreads_ == 0; });
  }
  Lock.unlock();
  for (std::thread &Thread : Threads_)
    Thread.join();
  for (Call &Queued : Queue_)
    Queued.OnReply_(
        PlatformReply{Queued.Key_, PlatformStatus::Unreachable, 0, "", 0});
}

void HttpPlatformReader::read(const std::string &Key, Callback OnReply) {
  enqueue(Call{Key, "/v1/read/" + Key, Duration(0), std::move(OnReply)});
}

void HttpPlatformReader::watch(const std::string &Key, std::uint64_t After,
                               Duration Wait, Callback OnReply) {
  enqueue(Call{Key,
               "/v1/watch/" + Key + "?after=" + std::to_string(After) +
                   "&wait_ms=" + std::to_string(toMilliseconds(Wait)),
               Wait, std::move(OnReply)});
}

void HttpPlatformReader::enqueue(Call Pending) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Stopped_ && Queue_.size() < MaxQueuedCalls) {
      Queue_.push_back(std::move(Pending));
      Changed_.notify_one();
      return;
    }
  }
  Pending.OnReply_(
      PlatformReply{Pending.Key_, PlatformStatus::Unreachable, 0, "", 0});
}

void HttpPlatformReader::runCalls(DocumentConnection &Connection) {
  while (true) {
    Call Pending;
    {
      std::unique_lock<std::mutex> Lock(Mutex_);
      Changed_.wait(Lock, [this] { return Stopped_ || !Queue_.empty(); });
      if (Stopped_) {
        --RunningThreads_;
        Changed_.notify_all();
        return;
      }
      Pending = std::move(Queue_.front());
      Queue_.pop_front();
    }
    Pending.OnReply_(perform(Connection, Pending));
  }
}

PlatformReply HttpPlatformReader::perform(DocumentConnection &Connection,
                                          const Call &Pending) const {
  PlatformReply Reply{Pending.Key_, PlatformStatus::Unreachable, 0, "", 0};
  DocumentAnswer Answer = Connection.get(
      Pending.Path_, httplib::Headers{{"Accept-Encoding", "gzip"}},
      Pending.Wait_ + Timeout_, MaxDocumentBytes);
  if (Answer.IsTooLarge_)
    Reply.Status_ = PlatformStatus::Malformed;
  if (Answer.Error_ != httplib::Error::Success)
    return Reply;
  httplib::Response &Response = Answer.Response_;
  Reply.Status_ = statusOf(Response, Reply.Version_);
  Reply.WireBytes_ = wireBytes(Response);
  if (Reply.Status_ == PlatformStatus::Value)
    Reply.Body_ = std::move(Response.body);
  return Reply;
}

} // namespace kumquatpitch
