// Push and pull sockets of nng. See nng-transport.h.

#include "kumquatpitch/nng-transport.h"

#include "kumquatpitch/peer-message.h"

#include <arpa/inet.h>
#include <array>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace kumquatpitch {

namespace {

/// Messages that wait for a peer's connection; later ones are dropped.
constexpr int SendQueueMessages = 16;
constexpr nng_duration LeastReconnectMs = 100;
constexpr nng_duration MostReconnectMs = 2'000;

std::string urlOf(const Endpoint &Address) {
  const bool IsV6 = Address.Address_.find(':') != std::string::npos;
  return "tcp://" + (IsV6 ? "[" + Address.Address_ + "]" : Address.Address_) +
         ":" + std::to_string(Address.Port_);
}

/// IP address of a message's sender; empty when the connection is gone.
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

/// Opens the receiving socket; an nng error code or 0.
int listenAt(const Endpoint &Own, nng_socket &Socket, int &Port) {
  if (const int Error = nng_pull0_open(&Socket))
    return Error;
  nng_listener Listener;
  int Error =
      nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxPartMessageBytes);
  if (Error == 0)
    Error = nng_listener_create(&Listener, Socket, urlOf(Own).c_str());
  if (Error == 0)
    Error = nng_listener_start(Listener, 0);
  if (Error == 0)
    Error = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port);
  if (Error != 0)
    nng_close(Socket);
  return Error;
}

} // namespace

Result<std::unique_ptr<NngTransport>> NngTransport::open(const Endpoint &Own,
                                                         std::size_t MaxDialed,
                                                         Receiver OnMessage) {
  nng_socket Incoming{};
  int Port = 0;
  if (const int Error = listenAt(Own, Incoming, Port))
    return fail(ResultCode::SettingsInvalid,
                "cannot listen at " + urlOf(Own) + ": " + nng_strerror(Error));
  return std::unique_ptr<NngTransport>(
      new NngTransport(Incoming, static_cast<std::uint16_t>(Port), MaxDialed,
                       std::move(OnMessage)));
}

NngTransport::NngTransport(nng_socket Incoming, std::uint16_t Port,
                           std::size_t MaxDialed, Receiver OnMessage)
    : Incoming_(Incoming), Port_(Port), MaxDialed_(MaxDialed),
      OnMessage_(std::move(OnMessage)), Thread_([this] { receive(); }) {}

NngTransport::~NngTransport() {
  nng_close(Incoming_);
  Thread_.join();
  for (const std::pair<const Endpoint, Dialed> &Each : Dialed_)
    nng_close(Each.second.Socket_);
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
  const bool Works =
      nng_socket_set_int(Socket, NNG_OPT_SENDBUF, SendQueueMessages) == 0 &&
      nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, LeastReconnectMs) == 0 &&
      nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, MostReconnectMs) == 0 &&
      nng_dial(Socket, urlOf(Peer).c_str(), &Dialer, NNG_FLAG_NONBLOCK) == 0;
  if (!Works)
    nng_close(Socket);
  return Works;
}

bool NngTransport::send(const Endpoint &Peer, const std::string &Message) {
  if (Message.size() > MaxPartMessageBytes)
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::map<Endpoint, Dialed>::iterator It = Dialed_.find(Peer);
  if (It == Dialed_.end()) {
    if (Dialed_.size() >= MaxDialed_) {
      const std::map<Endpoint, Dialed>::iterator Oldest =
          Dialed_.find(Uses_.back());
      nng_close(Oldest->second.Socket_);
      Dialed_.erase(Oldest);
      Uses_.pop_back();
    }
    nng_socket Socket{};
    if (!dial(Peer, Socket))
      return false;
    Uses_.push_front(Peer);
    It = Dialed_.emplace(Peer, Dialed{Socket, Uses_.begin()}).first;
  }
  Uses_.splice(Uses_.begin(), Uses_, It->second.Use_);
  // nng copies the bytes; without NONBLOCK a full queue would wait.
  return nng_send(It->second.Socket_, const_cast<char *>(Message.data()),
                  Message.size(), NNG_FLAG_NONBLOCK) == 0;
}

void NngTransport::reset(const Endpoint &Peer) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const std::map<Endpoint, Dialed>::iterator It = Dialed_.find(Peer);
  if (It == Dialed_.end())
    return;
  nng_close(It->second.Socket_);
  Uses_.erase(It->second.Use_);
  Dialed_.erase(It);
}

std::size_t NngTransport::dialedPeers() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Dialed_.size();
}

} // namespace kumquatpitch
