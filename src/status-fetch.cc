// Concurrent fetching of status reports. See status-fetch.h.

#include "kumquatpitch/status-fetch.h"

#include "kumquatpitch/contract.h"
#include "kumquatpitch/document-connection.h"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <set>
#include <thread>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxConcurrentFetches = 16;

std::string describeError(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
    return "cannot connect";
  case httplib::Error::Read:
    return "incomplete response: timed out or connection lost";
  default:
    return "request failed: " + httplib::to_string(Error);
  }
}

Result<std::string> fetchStatusText(const Endpoint &Address, Duration Timeout) {
  const DocumentAnswer Answer =
      DocumentConnection(Address).get("/status", {}, Timeout, MaxDocumentBytes);
  if (Answer.IsTooLarge_)
    return fail(ResultCode::DocumentTooLarge,
                "report has more than " + std::to_string(MaxDocumentBytes) +
                    " bytes");
  if (Answer.Error_ != httplib::Error::Success)
    return fail(ResultCode::HostUnreachable, describeError(Answer.Error_));
  if (Answer.Response_.status != 200)
    return fail(ResultCode::HostUnreachable,
                "HTTP status " + std::to_string(Answer.Response_.status));
  return Answer.Response_.body;
}

Result<HostStatus> fetchStatus(const HostAddress &From, Duration Timeout) {
  Result<std::string> Text = fetchStatusText(From.Address_, Timeout);
  if (!Text)
    return Text.error();
  Result<HostStatus> Status = parseHostStatus(Text.value());
  if (!Status)
    return Status.error();
  if (From.Id_ && *From.Id_ != Status->Host_)
    return fail(ResultCode::HostUnreachable,
                "another host answers there: " + Status->Host_.str());
  return Status;
}

HostFetchResult fetchOne(const HostAddress &From, Duration Timeout) {
  return handleFailure(
      [&]() -> Result<HostFetchResult> {
        Result<HostStatus> Status = fetchStatus(From, Timeout);
        if (!Status)
          return Status.error();
        return HostFetchResult{
            From, std::move(Status.value()), {ResultCode::Ok, ""}};
      },
      [&](const Failure &Cause) {
        return HostFetchResult{From, std::nullopt, Cause};
      });
}

void rejectDuplicateHosts(std::vector<HostFetchResult> &Fetched) {
  std::set<HostId> ReportedHosts;
  for (HostFetchResult &Host : Fetched) {
    if (!Host.Status_ || ReportedHosts.insert(Host.Status_->Host_).second)
      continue;
    Host.Failure_ = Failure{ResultCode::UsageError,
                            "host " + Host.Status_->Host_.str() +
                                " was already reached at another address"};
    Host.Status_.reset();
  }
}

} // namespace

std::string formatHostAddress(const HostAddress &Value) {
  const std::string Address =
      Value.Address_.Address_ + ":" + std::to_string(Value.Address_.Port_);
  return Value.Id_ ? Value.Id_->str() + " (" + Address + ")" : Address;
}

std::vector<HostFetchResult>
fetchStatuses(const std::vector<HostAddress> &Hosts, Duration Timeout) {
  std::vector<HostFetchResult> Fetched(Hosts.size());
  std::atomic<std::size_t> Next = 0;
  const auto FetchRemaining = [&] {
    for (std::size_t Index = Next++; Index < Hosts.size(); Index = Next++)
      Fetched[Index] = fetchOne(Hosts[Index], Timeout);
  };
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0;
       Index < std::min(MaxConcurrentFetches, Hosts.size()); ++Index)
    Threads.emplace_back(FetchRemaining);
  for (std::thread &Thread : Threads)
    Thread.join();
  rejectDuplicateHosts(Fetched);
  return Fetched;
}

} // namespace kumquatpitch
