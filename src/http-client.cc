// The pool of idle connections. See http-client.h.

#include "kumquatpitch/http-client.h"

#include "kumquatpitch/http-client-connection.h"

#include <algorithm>

namespace kumquatpitch {

HttpClient::HttpClient(asio::io_context &Context) : Context_(Context) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClientConnection>
HttpClient::acquireIdle(const CallOptions &Options) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Options.Endpoint_);
  if (It == Idle_.end())
    return nullptr;
  std::list<std::shared_ptr<HttpClientConnection>> &Connections = It->second;
  if (!Connections.empty() && !Connections.back()->isUsable(Options.MaxIdle_)) {
    // The most recently used connection has been idle for too long, so all
    // others have too.
    for (const std::shared_ptr<HttpClientConnection> &Expired : Connections)
      Expired->close();
    Connections.clear();
  }
  std::shared_ptr<HttpClientConnection> Connection;
  const std::list<std::shared_ptr<HttpClientConnection>>::reverse_iterator
      Chosen =
          std::find_if(Connections.rbegin(), Connections.rend(),
                       [&](const std::shared_ptr<HttpClientConnection> &Idle) {
                         return Idle->isUsable(Options.MaxIdle_) &&
                                Idle->mayCarry(Options.Echo_.Id_);
                       });
  if (Chosen != Connections.rend()) {
    Connection = *Chosen;
    Connections.erase(std::next(Chosen).base());
  } else if (!Connections.empty()) {
    // The new connection takes the place of the oldest one. Otherwise a caller
    // that uses one id for all of its requests would add one with each.
    Connections.front()->close();
    Connections.pop_front();
  }
  if (It->second.empty())
    Idle_.erase(It);
  return Connection;
}

std::shared_ptr<HttpClient::Call> HttpClient::call(const CallOptions &Options,
                                                   OutgoingRequest Request,
                                                   Callback OnEnd) {
  std::shared_ptr<HttpClientConnection> Connection = acquireIdle(Options);
  if (!Connection)
    Connection =
        std::make_shared<HttpClientConnection>(*this, Options.Endpoint_);
  Connection->start(Options, std::move(Request), std::move(OnEnd));
  return Connection;
}

void HttpClient::addIdle(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  Idle_[Connection->serverEndpoint()].push_back(Connection);
}

void HttpClient::removeIdle(const HttpClientConnection *Connection) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Connection->serverEndpoint());
  if (It == Idle_.end())
    return;
  It->second.remove_if(
      [Connection](const std::shared_ptr<HttpClientConnection> &Entry) {
        return Entry.get() == Connection;
      });
  if (It->second.empty())
    Idle_.erase(It);
}

void HttpClient::closeIdle(const Endpoint &Server) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Server);
  if (It == Idle_.end())
    return;
  for (const std::shared_ptr<HttpClientConnection> &Connection : It->second)
    Connection->close();
  Idle_.erase(It);
}

std::size_t HttpClient::idleConnections() const {
  std::size_t Count = 0;
  for (const std::pair<const Endpoint,
                       std::list<std::shared_ptr<HttpClientConnection>>>
           &Entry : Idle_)
    Count += Entry.second.size();
  return Count;
}

HttpClientConnection &HttpClient::largestHolder() const {
  return **std::max_element(
      Holders_.begin(), Holders_.end(),
      [](const HttpClientConnection *Left, const HttpClientConnection *Right) {
        return Left->countedBytes() < Right->countedBytes();
      });
}

} // namespace kumquatpitch
