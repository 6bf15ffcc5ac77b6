// A loopback proxy that harms the connections through it: delays them, resets
// them, or loses the bytes of one or both directions.

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
  Delay,       ///< Bytes arrive late.
  Reset,       ///< Open connections and new ones are reset.
  LoseAnswers, ///< Bytes towards the opener are lost.
  LoseAll,
};

class SoakProxy {
public:
  using Tcp = asio::ip::tcp;

  SoakProxy(asio::io_context &Context, const Tcp::endpoint &At,
            Tcp::endpoint Behind)
      : Context_(Context), Acceptor_(Context, At), Behind_(std::move(Behind)) {
    accept();
  }

  void setFault(ProxyFault Fault) {
    Fault_ = Fault;
    if (Fault != ProxyFault::Reset)
      return;
    const std::set<std::shared_ptr<Pair>> Open = Pairs_;
    for (const std::shared_ptr<Pair> &Each : Open)
      end(Each, true);
  }

private:
  struct Pair {
    explicit Pair(asio::io_context &Context, Tcp::socket Opener)
        : Opener_(std::move(Opener)), Server_(Context) {}
    Tcp::socket Opener_;
    Tcp::socket Server_;
    std::array<char, 8'192> ToServer_;
    std::array<char, 8'192> ToOpener_;
  };

  void accept() {
    Acceptor_.async_accept(
        [this](const asio::error_code &Error, Tcp::socket Opener) {
          if (!Acceptor_.is_open())
            return;
          if (!Error)
            open(std::make_shared<Pair>(Context_, std::move(Opener)));
          accept();
        });
  }

  void open(const std::shared_ptr<Pair> &New) {
    Pairs_.insert(New);
    if (Fault_ == ProxyFault::Reset)
      return end(New, true);
    New->Server_.async_connect(
        Behind_, [this, New](const asio::error_code &Error) {
          if (Error)
            return end(New, true);
          asio::error_code Ignored;
          New->Opener_.set_option(Tcp::no_delay(true), Ignored);
          New->Server_.set_option(Tcp::no_delay(true), Ignored);
          pump(New, New->Opener_, New->Server_, New->ToServer_, false);
          pump(New, New->Server_, New->Opener_, New->ToOpener_, true);
        });
  }

  void pump(const std::shared_ptr<Pair> &Of, Tcp::socket &From, Tcp::socket &To,
            std::array<char, 8'192> &Buffer, bool IsAnswer) {
    From.async_read_some(asio::buffer(Buffer),
                         [this, Of, &From, &To, &Buffer, IsAnswer](
                             const asio::error_code &Error, std::size_t Size) {
                           if (Error)
                             return end(Of, Error != asio::error::eof);
                           if (Fault_ == ProxyFault::LoseAll ||
                               (Fault_ == ProxyFault::LoseAnswers && IsAnswer))
                             return pump(Of, From, To, Buffer, IsAnswer);
                           forward(Of, From, To, Buffer, IsAnswer, Size);
                         });
  }

  void forward(const std::shared_ptr<Pair> &Of, Tcp::socket &From,
               Tcp::socket &To, std::array<char, 8'192> &Buffer, bool IsAnswer,
               std::size_t Size) {
    const std::shared_ptr<asio::steady_timer> Delay =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::milliseconds(Fault_ == ProxyFault::Delay ? 150 : 0));
    Delay->async_wait([this, Of, &From, &To, &Buffer, IsAnswer, Size,
                       Delay](const asio::error_code &) {
      asio::async_write(To, asio::buffer(Buffer.data(), Size),
                        [this, Of, &From, &To, &Buffer,
                         IsAnswer](const asio::error_code &Error, std::size_t) {
                          if (Error)
                            return end(Of, true);
                          pump(Of, From, To, Buffer, IsAnswer);
                        });
    });
  }

  void end(const std::shared_ptr<Pair> &Of, bool IsReset) {
    if (Pairs_.erase(Of) == 0)
      return;
    asio::error_code Ignored;
    if (IsReset && Of->Opener_.is_open())
      Of->Opener_.set_option(asio::socket_base::linger(true, 0), Ignored);
    Of->Opener_.close(Ignored);
    Of->Server_.close(Ignored);
  }

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  const Tcp::endpoint Behind_;
  ProxyFault Fault_ = ProxyFault::None;
  std::set<std::shared_ptr<Pair>> Pairs_;
};

} // namespace kumquatpitch::test

#endif
