// Loopback TCP connection on which a test writes arbitrary bytes.

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
    const timeval ReadTimeout{30, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &ReadTimeout,
               sizeof(ReadTimeout));
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

  /// Reads until the peer closes the connection or sends no byte for 30 s.
  std::string readAll() const {
    std::string Received;
    char Chunk[4096];
    ssize_t ByteCount = 0;
    while ((ByteCount = recv(Socket_, Chunk, sizeof(Chunk), 0)) > 0)
      Received.append(Chunk, static_cast<std::size_t>(ByteCount));
    return Received;
  }

  /// Appends the bytes that come next. Returns their number, 0 at the end of
  /// the connection and a negative number for a reset or after 30 s.
  ssize_t readSome(std::string &Received) const {
    char Chunk[16'384];
    const ssize_t ByteCount = recv(Socket_, Chunk, sizeof(Chunk), 0);
    if (ByteCount > 0)
      Received.append(Chunk, static_cast<std::size_t>(ByteCount));
    return ByteCount;
  }

private:
  int Socket_;
  bool IsOpen_ = false;
};

} // namespace kumquatpitch::test

#endif
