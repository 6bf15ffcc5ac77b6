// The byte stream of one connection to the operator endpoint. Limits what the
// HTTP library does not: the time and the bytes of a whole request, and the
// time of a whole answer. Used by OperatorEndpoint.

#ifndef KUMQUATPITCH_OPERATOR_STREAM_H
#define KUMQUATPITCH_OPERATOR_STREAM_H

#include <chrono>
#include <cstddef>
#include <httplib.h>
#include <string>

namespace kumquatpitch::detail {

class OperatorStream : public httplib::Stream {
public:
  explicit OperatorStream(socket_t Socket)
      : Socket_(Socket), Deadline_(Clock::now() + RequestTime) {}

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Bytes, size_t Size) override;
  ssize_t write(const char *Bytes, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return Socket_; }

private:
  using Clock = std::chrono::steady_clock;

  /// A health check or a command writes its request at once.
  static constexpr std::chrono::seconds RequestTime{1};
  /// From the first byte of the answer.
  static constexpr std::chrono::seconds AnswerTime{4};
  /// The HTTP library matches some fields with a recursive function, which
  /// overflows the thread's stack on a field of some 10,000 bytes.
  static constexpr std::size_t MaxRequestBytes = 4'096;

  bool isReady(short Events) const;

  const socket_t Socket_;
  Clock::time_point Deadline_; ///< Of the request, then of the answer.
  bool IsAnswering_ = false;
  std::size_t ReadBytes_ = 0;
};

} // namespace kumquatpitch::detail

#endif
