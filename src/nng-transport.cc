// Peer messages over nng push and pull sockets. See nng-transport.h.

#include "kumquatpitch/nng-transport.h"

#include "kumquatpitch/peer-message.h"

#include <arpa/inet.h>
#include <array>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace kumquatpitch {

namespace {

/// Messages queued for a peer that is not connected; further ones are dropped.
constexpr int SendQueueMessages = 16;
constexpr nng_duration MinReconnectMs = 100;
constexpr nng_duration MaxReconnectMs = 2'000;

std::string urlOf(const Endpoint &Address) {
  const bool IsV6 = Address.Address_.find(':') != std::string::npos;
  return "tcp://" + (IsV6 ? "[" + Address.Address_ + "]" : Address.Address_) +
         ":" + std::to_string(Address.Port_);
}

/// Returns the IP address of a message's sender; empty when the connection is
/// already closed.
std::string senderOf(nng_msg *Message) {
  nng_sockaddr Address;
  if (nng_pipe_get_addr(nng_msg_get_pipe(Message), NNG_OPT_REMADDR, &Address))
    return {};
  std::array<char, INET6_ADDRSTRLEN> Text{};
  const bool IsV4 = Address.s_family == NNG_AF_INET;
  if (!IsV4 && Address.s_family != NNG_AF_INET6)
    return {};
  const void *Bytes = IsV4 ? static_cast<const void *>(&Address.s_in.sa_addr)
                           : static_cast<const void *>(&Address.s_in6.sa_addr);
  if (!inet_ntop(IsV4 ? AF_INET : AF_INET6, Bytes, Text.data(), Text.size()))
    return {};
  return Text.data();
}

/// Opens the receiving socket. Returns 0 or an nng error code.
int listenAt(const Endpoint &ListenAddress, nng_socket &Socket, int &Port) {
  if (const int Error = nng_pull0_open(&Socket))
    return Error;
  nng_listener Listener;
  int Error =
      nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxPartMessageBytes);
  if (Error == 0)
    Error =
        nng_listener_create(&Listener, Socket, urlOf(ListenAddress).c_str());
  if (Error == 0)
    Error = nng_listener_start(Listener, 0);
  if (Error == 0)
    Error = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port);
  if (Error != 0)
    nng_close(Socket);
  return Error;
}

} // namespace

Result<std::unique_ptr<NngTransport>>
NngTransport::open(const Endpoint &ListenAddress, std::size_t MaxDialed,
                   Receiver OnMessage) {
  nng_socket Incoming{};
  int Port = 0;
  if (const int Error = listenAt(ListenAddress, Incoming, Port))
    return fail(ResultCode::SettingsInvalid, "cannot listen on " +
                                                 urlOf(ListenAddress) + ": " +
                                                 nng_strerror(Error));
  return std::unique_ptr<NngTransport>(
      new NngTransport(Incoming, static_cast<std::uint16_t>(Port), MaxDialed,
                       std::move(OnMessage)));
}

NngTransport::NngTransport(nng_socket Incoming, std::uint16_t Port,
                           std::size_t MaxDialed, Receiver OnMessage)
    : Incoming_(Incoming), Port_(Port), MaxDialed_(MaxDialed),
      OnMessage_(std::move(OnMessage)), ReceiveThread_([this] { receive(); }) {}

NngTransport::~NngTransport() {
  nng_close(Incoming_);
  ReceiveThread_.join();
  for (const std::pair<const Endpoint, PeerSocket> &Entry : PeerSockets_)
    nng_close(Entry.second.Socket_);
}

void NngTransport::receive() {
  nng_msg *Message = nullptr;
  while (nng_recvmsg(Incoming_, &Message, 0) == 0) {
    const char *const Bytes = static_cast<const char *>(nng_msg_body(Message));
    std::string Body(Bytes, nng_msg_len(Message));
    std::string Sender = senderOf(Message);
    nng_msg_free(Message);
    OnMessage_(std::move(Body), std::move(Sender));
  }
}

bool NngTransport::dial(const Endpoint &Peer, nng_socket &Socket) {
  if (nng_push0_open(&Socket) != 0)
    return false;
  nng_dialer Dialer;
  const bool IsDialing =
      nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendQueueMessages) == 0 &&
      nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, MinReconnectMs) == 0 &&
      nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, MaxReconnectMs) == 0 &&
      nng_dial(Socket, urlOf(Peer).c_str(), &Dialer, NNG_FLAG_NONBLOCK) == 0;
  if (!IsDialing)
    nng_close(Socket);
  return IsDialing;
}

bool NngTransport::send(const Endpoint &Peer, const std::string &Message) {
  if (Message.size() > MaxPartMessageBytes)
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::map<Endpoint, PeerSocket>::iterator It = PeerSockets_.find(Peer);
  if (It == PeerSockets_.end()) {
    if (PeerSockets_.size() >= MaxDialed_) {
      const std::map<Endpoint, PeerSocket>::iterator Oldest =
          PeerSockets_.find(RecentPeers_.back());
      nng_close(Oldest->second.Socket_);
      PeerSockets_.erase(Oldest);
      RecentPeers_.pop_back();
    }
    nng_socket Socket{};
    if (!dial(Peer, Socket))
      return false;
    RecentPeers_.push_front(Peer);
    It = PeerSockets_.emplace(Peer, PeerSocket{Socket, RecentPeers_.begin()})
             .first;
  }
  RecentPeers_.splice(RecentPeers_.begin(), RecentPeers_, It->second.Position_);
  // nng copies the bytes, so the const_cast is safe. Without NONBLOCK the call
  // would block while the queue is full.
  return nng_send(It->second.Socket_, const_cast<char *>(Message.data()),
                  Message.size(), NNG_FLAG_NONBLOCK) == 0;
}

void NngTransport::reset(const Endpoint &Peer) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const std::map<Endpoint, PeerSocket>::iterator It = PeerSockets_.find(Peer);
  if (It == PeerSockets_.end())
    return;
  nng_close(It->second.Socket_);
  RecentPeers_.erase(It->second.Position_);
  PeerSockets_.erase(It);
}

std::size_t NngTransport::dialedPeers() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return PeerSockets_.size();
}

} // namespace kumquatpitch
