// Messages between hosts over nng push and pull sockets. Owned by
// serve-command; decides nothing about contents.

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

/// One pull socket receives from all peers; one push socket for each dialed
/// peer sends, since a push socket with several peers spreads its messages over
/// them. nng connects again by itself and does not report a connection that
/// went silent: call reset() when heartbeats show that a peer hears nothing.
class NngTransport : public PeerTransport {
public:
  /// Takes a message and the sender's IP address, on the transport's thread.
  using Receiver = std::function<void(std::string Message, std::string Sender)>;

  /// Listens at `Own`; port 0 takes a free one. Keeps at most `MaxDialed` peers
  /// dialed and closes the one that was used least recently. Fails with
  /// SettingsInvalid when the address cannot be listened at.
  static Result<std::unique_ptr<NngTransport>>
  open(const Endpoint &Own, std::size_t MaxDialed, Receiver OnMessage);

  /// Ends the receiving thread; no callback runs afterwards.
  ~NngTransport() override;

  NngTransport(const NngTransport &) = delete;
  NngTransport &operator=(const NngTransport &) = delete;

  bool send(const Endpoint &Peer, const std::string &Message) override;

  /// Closes the connection to a peer; the next send() opens a new one.
  void reset(const Endpoint &Peer);

  /// Port that is listened at.
  std::uint16_t port() const { return Port_; }

  /// Count of peers that are dialed.
  std::size_t dialedPeers() const;

private:
  struct Dialed {
    nng_socket Socket_{};
    std::list<Endpoint>::iterator Use_; ///< Place in Uses_.
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
  std::map<Endpoint, Dialed> Dialed_; ///< At most MaxDialed_.
  std::list<Endpoint> Uses_;          ///< Most recent first.
  std::thread Thread_;
};

} // namespace kumquatpitch

#endif
