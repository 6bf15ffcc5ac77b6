// Listening and shared bounds of the front. See http-front.h.

#include "kumquatpitch/http-front.h"

#include "kumquatpitch/caller-session.h"

#include <asio/ip/address.hpp>

namespace kumquatpitch {

void CallerPresence::onGone(std::function<void()> Callback) {
  std::function<void()> Now;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (IsGone_)
      Now = std::move(Callback);
    else
      Callback_ = std::move(Callback);
  }
  if (Now)
    Now();
}

void CallerPresence::markGone() {
  std::function<void()> Now;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    IsGone_ = true;
    Now = std::move(Callback_);
    Callback_ = nullptr;
  }
  if (Now)
    Now();
}

HttpFront::HttpFront(asio::io_context &Context, CallerHandler &Handler,
                     FrontLimits Limits)
    : Context_(Context), Handler_(Handler), Limits_(Limits),
      Workers_(Limits.MaxWorkers_) {}

HttpFront::~HttpFront() { join(); }

Result<void> HttpFront::listen(const CustomerName &Customer,
                               const Endpoint &Where) {
  const std::shared_ptr<Listener> On =
      std::make_shared<Listener>(Context_, Customer);
  try {
    const asio::ip::tcp::endpoint Address(
        asio::ip::make_address(Where.Address_), Where.Port_);
    On->Acceptor_.open(Address.protocol());
    On->Acceptor_.set_option(asio::socket_base::reuse_address(true));
    On->Acceptor_.bind(Address);
    On->Acceptor_.listen();
  } catch (const std::system_error &Error) {
    return fail(ResultCode::SettingsInvalid,
                "cannot listen on " + Where.Address_ + ":" +
                    std::to_string(Where.Port_) + ": " + Error.what());
  }
  Listeners_.push_back(On);
  accept(On);
  return {};
}

void HttpFront::accept(const std::shared_ptr<Listener> &On) {
  On->Acceptor_.async_accept(
      [this, On](const std::error_code &Error, asio::ip::tcp::socket Socket) {
        if (IsStopping_ || Error == asio::error::operation_aborted)
          return;
        // A connection over the bound is closed at once: the caller tries the
        // next address of its answer.
        if (!Error && Connections_ < Limits_.MaxConnections_) {
          std::error_code Ignored;
          Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          std::make_shared<detail::CallerSession>(*this, On->Customer_,
                                                  std::move(Socket))
              ->start();
        }
        accept(On);
      });
}

void HttpFront::stopAccepting() {
  IsStopping_ = true;
  for (const std::shared_ptr<Listener> &On : Listeners_) {
    std::error_code Ignored;
    On->Acceptor_.close(Ignored);
  }
}

void HttpFront::join() {
  IsStopping_ = true;
  Workers_.join();
}

} // namespace kumquatpitch
