// Listeners and the connection limit of the front. See http-front.h.

#include "kumquatpitch/http-front.h"

#include "kumquatpitch/caller-session.h"

#include <asio/ip/address.hpp>

namespace kumquatpitch {

void CallerPresence::onDisconnect(std::function<void()> Callback) {
  std::function<void()> PendingCallback;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (IsDisconnected_)
      PendingCallback = std::move(Callback);
    else
      Callback_ = std::move(Callback);
  }
  if (PendingCallback)
    PendingCallback();
}

void CallerPresence::markDisconnected() {
  std::function<void()> PendingCallback;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    IsDisconnected_ = true;
    PendingCallback = std::move(Callback_);
    Callback_ = nullptr;
  }
  if (PendingCallback)
    PendingCallback();
}

HttpFront::HttpFront(asio::io_context &Context, CallerHandler &Handler,
                     FrontLimits Limits)
    : Context_(Context), Handler_(Handler), Limits_(Limits),
      Workers_(Limits.MaxWorkers_),
      Unread_(std::make_shared<UnreadAnswers>(Limits.MaxBufferBytes_)) {}

HttpFront::~HttpFront() { join(); }

Result<void> HttpFront::listen(const CustomerName &Customer,
                               const Endpoint &Address) {
  const std::shared_ptr<Listener> Source =
      std::make_shared<Listener>(Context_, Customer);
  try {
    const asio::ip::tcp::endpoint BindAddress(
        asio::ip::make_address(Address.Address_), Address.Port_);
    Source->Acceptor_.open(BindAddress.protocol());
    Source->Acceptor_.set_option(asio::socket_base::reuse_address(true));
    Source->Acceptor_.bind(BindAddress);
    Source->Acceptor_.listen();
  } catch (const std::system_error &Error) {
    return fail(ResultCode::SettingsInvalid,
                "cannot listen on " + Address.Address_ + ":" +
                    std::to_string(Address.Port_) + ": " + Error.what());
  }
  Listeners_.push_back(Source);
  accept(Source);
  return {};
}

void HttpFront::accept(const std::shared_ptr<Listener> &Source) {
  Source->Acceptor_.async_accept([this, Source](const std::error_code &Error,
                                                asio::ip::tcp::socket Socket) {
    if (IsStopping_ || Error == asio::error::operation_aborted)
      return;
    // A connection over the limit is closed immediately: the caller then
    // tries the next host in the address list it was given.
    if (!Error && Connections_ < Limits_.MaxConnections_) {
      std::error_code Ignored;
      Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
      std::make_shared<detail::CallerSession>(*this, Source->Customer_,
                                              std::move(Socket))
          ->start();
    }
    accept(Source);
  });
}

void HttpFront::stopAccepting() {
  IsStopping_ = true;
  for (const std::shared_ptr<Listener> &Source : Listeners_) {
    std::error_code Ignored;
    Source->Acceptor_.close(Ignored);
  }
}

void HttpFront::join() {
  IsStopping_ = true;
  Workers_.join();
}

} // namespace kumquatpitch
