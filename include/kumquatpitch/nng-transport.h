// Messages between hosts over nng push and pull sockets. Does not interpret the
// contents.

#ifndef KUMQUATPITCH_NNG_TRANSPORT_H
#define KUMQUATPITCH_NNG_TRANSPORT_H

#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <thread>

namespace kumquatpitch {

/// Receives from all peers on one pull socket and sends on one push socket for
/// each peer, since a push socket with several peers distributes its messages
/// among them. nng reconnects by itself but does not detect a half-open
/// connection: call reset() when heartbeats show that a peer receives nothing.
class NngTransport : public PeerTransport {
public:
  /// Callback for a message and the sender's IP address, on the transport's
  /// receiving thread.
  using Receiver = std::function<void(std::string Message, std::string Sender)>;

  /// Listens at `ListenAddress`; port 0 selects a free port. Keeps connections
  /// to at most `MaxDialed` peers and closes the least recently used one beyond
  /// that. Fails with SettingsInvalid when it cannot listen at the address.
  static Result<std::unique_ptr<NngTransport>>
  open(const Endpoint &ListenAddress, std::size_t MaxDialed,
       Receiver OnMessage);

  /// Stops the receiving thread; no callback runs afterwards.
  ~NngTransport() override;

  NngTransport(const NngTransport &) = delete;
  NngTransport &operator=(const NngTransport &) = delete;

  bool send(const Endpoint &Peer, const std::string &Message) override;

  /// Closes the connection to a peer; the next send() opens a new one.
  void reset(const Endpoint &Peer);

  /// The listening port.
  std::uint16_t port() const { return Port_; }

  /// Number of peers with an open send socket.
  std::size_t dialedPeers() const;

private:
  struct PeerSocket {
    nng_socket Socket_{};
    std::list<Endpoint>::iterator Position_; ///< Position in RecentPeers_.
  };

  NngTransport(nng_socket Incoming, std::uint16_t Port, std::size_t MaxDialed,
               Receiver OnMessage);

  void receive();
  bool dial(const Endpoint &Peer, nng_socket &Socket);

  const nng_socket Incoming_;
  const std::uint16_t Port_;
  const std::size_t MaxDialed_;
  const Receiver OnMessage_;
  mutable std::mutex Mutex_;
  std::map<Endpoint, PeerSocket> PeerSockets_; ///< At most MaxDialed_.
  std::list<Endpoint> RecentPeers_;            ///< Most recently used first.
  std::thread ReceiveThread_;
};

} // namespace kumquatpitch

#endif
