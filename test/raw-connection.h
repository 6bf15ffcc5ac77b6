// A TCP connection on loopback that a test writes bytes to as it likes.

#ifndef KUMQUATPITCH_RAW_CONNECTION_H
#define KUMQUATPITCH_RAW_CONNECTION_H

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace kumquatpitch::test {

class RawConnection {
public:
  explicit RawConnection(int Port) : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval Longest{30, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Longest, sizeof(Longest));
    IsOpen_ = connect(Socket_, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0;
  }
  ~RawConnection() { close(Socket_); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool isOpen() const { return IsOpen_; }

  void write(const std::string &Bytes) const {
    send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// Reads until the other side closes, or 30 s without a byte.
  std::string readAll() const {
    std::string All;
    char Chunk[4096];
    ssize_t Count = 0;
    while ((Count = recv(Socket_, Chunk, sizeof(Chunk), 0)) > 0)
      All.append(Chunk, static_cast<std::size_t>(Count));
    return All;
  }

private:
  int Socket_;
  bool IsOpen_ = false;
};

} // namespace kumquatpitch::test

#endif
