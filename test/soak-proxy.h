// A fault-injecting TCP proxy on a loopback address: it delays or resets the
// connections through it, or drops the bytes of one or both directions.

#ifndef KUMQUATPITCH_SOAK_PROXY_H
#define KUMQUATPITCH_SOAK_PROXY_H

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace kumquatpitch::test {

enum class ProxyFault : std::uint8_t {
  None,
  Delay,         ///< Bytes arrive late.
  Reset,         ///< Open and new connections are reset.
  DropResponses, ///< Bytes from the server to the client are dropped.
  DropAll,       ///< Bytes in both directions are dropped.
  /// In every second connection a reset by the server reaches the client as an
  /// orderly end.
  EndResets,
};

class SoakProxy {
public:
  using Tcp = asio::ip::tcp;

  SoakProxy(asio::io_context &Context, const Tcp::endpoint &ListenAddress,
            Tcp::endpoint Upstream)
      : Context_(Context), Acceptor_(Context, ListenAddress),
        Upstream_(std::move(Upstream)) {
    accept();
  }

  void setFault(ProxyFault Fault) {
    Fault_ = Fault;
    if (Fault != ProxyFault::Reset)
      return;
    const std::set<std::shared_ptr<Connection>> Open = Connections_;
    for (const std::shared_ptr<Connection> &Conn : Open)
      closeConnection(Conn, true);
  }

private:
  struct Connection {
    explicit Connection(asio::io_context &Context, Tcp::socket Client)
        : Client_(std::move(Client)), Server_(Context) {}
    Tcp::socket Client_;
    Tcp::socket Server_;
    bool EndsResets_ = false;
    std::array<char, 8'192> ToServer_;
    std::array<char, 8'192> ToClient_;
  };

  void accept() {
    Acceptor_.async_accept(
        [this](const asio::error_code &Error, Tcp::socket Client) {
          if (!Acceptor_.is_open())
            return;
          if (!Error)
            open(std::make_shared<Connection>(Context_, std::move(Client)));
          accept();
        });
  }

  void open(const std::shared_ptr<Connection> &Conn) {
    Connections_.insert(Conn);
    Conn->EndsResets_ = Fault_ == ProxyFault::EndResets && ++Opened_ % 2 == 0;
    if (Fault_ == ProxyFault::Reset)
      return closeConnection(Conn, true);
    Conn->Server_.async_connect(
        Upstream_, [this, Conn](const asio::error_code &Error) {
          if (Error)
            return closeConnection(Conn, true);
          asio::error_code Ignored;
          Conn->Client_.set_option(Tcp::no_delay(true), Ignored);
          Conn->Server_.set_option(Tcp::no_delay(true), Ignored);
          pump(Conn, Conn->Client_, Conn->Server_, Conn->ToServer_, false);
          pump(Conn, Conn->Server_, Conn->Client_, Conn->ToClient_, true);
        });
  }

  void pump(const std::shared_ptr<Connection> &Conn, Tcp::socket &From,
            Tcp::socket &To, std::array<char, 8'192> &Buffer, bool IsResponse) {
    From.async_read_some(
        asio::buffer(Buffer),
        [this, Conn, &From, &To, &Buffer,
         IsResponse](const asio::error_code &Error, std::size_t Size) {
          if (Error)
            return closeConnection(Conn,
                                   Error != asio::error::eof &&
                                       !(IsResponse && Conn->EndsResets_));
          if (Fault_ == ProxyFault::DropAll ||
              (Fault_ == ProxyFault::DropResponses && IsResponse))
            return pump(Conn, From, To, Buffer, IsResponse);
          forward(Conn, From, To, Buffer, IsResponse, Size);
        });
  }

  void forward(const std::shared_ptr<Connection> &Conn, Tcp::socket &From,
               Tcp::socket &To, std::array<char, 8'192> &Buffer,
               bool IsResponse, std::size_t Size) {
    const std::shared_ptr<asio::steady_timer> Delay =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::milliseconds(Fault_ == ProxyFault::Delay ? 150 : 0));
    Delay->async_wait([this, Conn, &From, &To, &Buffer, IsResponse, Size,
                       Delay](const asio::error_code &) {
      asio::async_write(To, asio::buffer(Buffer.data(), Size),
                        [this, Conn, &From, &To, &Buffer, IsResponse](
                            const asio::error_code &Error, std::size_t) {
                          if (Error)
                            return closeConnection(Conn, true);
                          pump(Conn, From, To, Buffer, IsResponse);
                        });
    });
  }

  void closeConnection(const std::shared_ptr<Connection> &Conn, bool IsReset) {
    if (Connections_.erase(Conn) == 0)
      return;
    asio::error_code Ignored;
    if (IsReset && Conn->Client_.is_open())
      Conn->Client_.set_option(asio::socket_base::linger(true, 0), Ignored);
    Conn->Client_.close(Ignored);
    Conn->Server_.close(Ignored);
  }

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  const Tcp::endpoint Upstream_;
  ProxyFault Fault_ = ProxyFault::None;
  std::uint64_t Opened_ = 0;
  std::set<std::shared_ptr<Connection>> Connections_;
};

} // namespace kumquatpitch::test

#endif
