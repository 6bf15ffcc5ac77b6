// Concurrent reads of status reports. See status-fetch.h.

#include "kumquatpitch/status-fetch.h"

#include "kumquatpitch/contract.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <set>
#include <thread>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxConcurrent = 16;

using Clock = std::chrono::steady_clock;

std::string reasonOf(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
    return "cannot connect";
  case httplib::Error::Read:
    return "no whole answer in time, or the connection broke";
  case httplib::Error::Canceled:
    return "no whole answer in time";
  default:
    return "request failed: " + httplib::to_string(Error);
  }
}

Result<std::string> readStatusText(const Endpoint &Address, Duration Timeout) {
  httplib::Client Client(Address.Address_, Address.Port_);
  Client.set_connection_timeout(Timeout);
  Client.set_read_timeout(Timeout);
  Client.set_write_timeout(Timeout);
  Client.set_tcp_nodelay(true);
  const Clock::time_point Deadline = Clock::now() + Timeout;
  std::string Body;
  // Counted here, since the library's time limit starts anew with each read.
  const auto Receive = [&](const char *Data, std::size_t Size) {
    Body.append(Data, Size);
    return Body.size() <= MaxDocumentBytes && Clock::now() < Deadline;
  };
  const httplib::Result Answer = Client.Get("/status", Receive);
  if (Body.size() > MaxDocumentBytes)
    return fail(ResultCode::DocumentTooLarge,
                "report has more than " + std::to_string(MaxDocumentBytes) +
                    " bytes");
  if (!Answer)
    return fail(ResultCode::HostUnreachable, reasonOf(Answer.error()));
  if (Answer->status != 200)
    return fail(ResultCode::HostUnreachable,
                "HTTP status " + std::to_string(Answer->status));
  return Body;
}

Result<HostStatus> readStatus(const HostAddress &From, Duration Timeout) {
  Result<std::string> Text = readStatusText(From.Address_, Timeout);
  if (!Text)
    return Text.error();
  Result<HostStatus> Read = parseHostStatus(Text.value());
  if (!Read)
    return Read.error();
  if (From.Id_ && *From.Id_ != Read->Host_)
    return fail(ResultCode::HostUnreachable,
                "another host answers there: " + Read->Host_.str());
  return Read;
}

FetchedHost fetchOne(const HostAddress &From, Duration Timeout) {
  return handleFailure(
      [&]() -> Result<FetchedHost> {
        Result<HostStatus> Read = readStatus(From, Timeout);
        if (!Read)
          return Read.error();
        return FetchedHost{From, std::move(Read.value()), {ResultCode::Ok, ""}};
      },
      [&](const Failure &Cause) {
        return FetchedHost{From, std::nullopt, Cause};
      });
}

void dropRepeated(std::vector<FetchedHost> &Fetched) {
  std::set<HostId> Seen;
  for (FetchedHost &Each : Fetched) {
    if (!Each.Status_ || Seen.insert(Each.Status_->Host_).second)
      continue;
    Each.Failure_ = Failure{ResultCode::UsageError,
                            "host " + Each.Status_->Host_.str() +
                                " was asked at another address already"};
    Each.Status_.reset();
  }
}

} // namespace

std::string hostAddressText(const HostAddress &Value) {
  const std::string Address =
      Value.Address_.Address_ + ":" + std::to_string(Value.Address_.Port_);
  return Value.Id_ ? Value.Id_->str() + " (" + Address + ")" : Address;
}

std::vector<FetchedHost> fetchStatuses(const std::vector<HostAddress> &Hosts,
                                       Duration Timeout) {
  std::vector<FetchedHost> Fetched(Hosts.size());
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t Index = Next++; Index < Hosts.size(); Index = Next++)
      Fetched[Index] = fetchOne(Hosts[Index], Timeout);
  };
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < std::min(MaxConcurrent, Hosts.size());
       ++Index)
    Threads.emplace_back(Work);
  for (std::thread &Each : Threads)
    Each.join();
  dropRepeated(Fetched);
  return Fetched;
}

} // namespace kumquatpitch
