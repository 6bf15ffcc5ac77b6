// Server in the test process that answers one connection with bytes that do not
// end until its peer closes. Used by the tests of the clients of `serve`.

#ifndef KUMQUATPITCH_ENDLESS_SERVER_H
#define KUMQUATPITCH_ENDLESS_SERVER_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace kumquatpitch::test {

/// Bytes that a server writes without end.
struct EndlessAnswer {
  std::string Start_;
  std::string Block_;                 ///< Repeated behind Start_.
  std::chrono::milliseconds Pause_{}; ///< Between two blocks.
  /// Ends the answer so that a client that reads on fails its test instead of
  /// using up the machine's memory.
  std::size_t MaxBytes_ = 64 << 20;

  bool operator==(const EndlessAnswer &) const = default;
};

class EndlessServer {
public:
  /// Ends an answer that is written slowly.
  static constexpr std::chrono::seconds MaxTime{6};

  explicit EndlessServer(EndlessAnswer Answer)
      : Thread_([this, Answer = std::move(Answer)] { serve(Answer); }) {}
  ~EndlessServer() { join(); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  /// Waits until the client has closed. Returns the bytes that were written,
  /// those in the buffers of the connection included.
  std::size_t writtenBytes() {
    join();
    return Written_;
  }

private:
  void join() {
    if (Thread_.joinable())
      Thread_.join();
  }

  void serve(const EndlessAnswer &Answer) {
    const std::chrono::steady_clock::time_point End =
        std::chrono::steady_clock::now() + MaxTime;
    asio::ip::tcp::socket Connection = Acceptor_.accept();
    Connection.set_option(asio::ip::tcp::no_delay(true));
    asio::streambuf Request;
    asio::error_code Error;
    asio::read_until(Connection, Request, "\r\n\r\n", Error);
    Written_ += asio::write(Connection, asio::buffer(Answer.Start_), Error);
    while (!Error && Written_ < Answer.MaxBytes_ &&
           std::chrono::steady_clock::now() < End) {
      Written_ += asio::write(Connection, asio::buffer(Answer.Block_), Error);
      std::this_thread::sleep_for(Answer.Pause_);
    }
  }

  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_{Context_,
                                    {asio::ip::make_address("127.0.0.1"), 0}};
  std::size_t Written_ = 0;
  std::thread Thread_;
};

} // namespace kumquatpitch::test

#endif
