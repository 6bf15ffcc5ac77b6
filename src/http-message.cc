// Parsing and serialization of HTTP messages. See http-message.h.

#include "kumquatpitch/http-message.h"

#include "kumquatpitch/http-text.h"

#include <algorithm>
#include <cstring>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace kumquatpitch {

namespace {

/// A stream from which cpp-httplib reads a head in memory; writes are
/// discarded.
class HeadStream : public httplib::Stream {
public:
  explicit HeadStream(std::string_view Bytes) : Bytes_(Bytes) {}

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char *Buffer, size_t Size) override {
    const std::size_t Count = std::min(Size, Bytes_.size());
    std::memcpy(Buffer, Bytes_.data(), Count);
    Bytes_.remove_prefix(Count);
    return static_cast<ssize_t>(Count);
  }
  ssize_t write(const char *, size_t Size) override {
    return static_cast<ssize_t>(Size);
  }
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return INVALID_SOCKET; }

private:
  std::string_view Bytes_;
};

/// Gives access to cpp-httplib's request parser, which is a protected member of
/// its server. The routing handler ends the processing after the parse.
class HeadParser : public httplib::Server {
public:
  HeadParser() {
    set_pre_routing_handler([](const httplib::Request &, httplib::Response &) {
      return HandlerResponse::Handled;
    });
  }

  bool parse(const std::string &Head, httplib::Request &Request) {
    HeadStream Stream(Head);
    bool IsClosed = false;
    bool IsParsed = false;
    process_request(Stream, true, IsClosed, [&](httplib::Request &Parsed) {
      Request = Parsed;
      IsParsed = true;
    });
    return IsParsed;
  }
};

bool namesEqual(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// True for the fields that cpp-httplib adds to each parsed request.
bool isLibraryField(std::string_view Name) {
  for (const char *LibraryField :
       {"REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT"})
    if (Name == LibraryField)
      return true;
  return false;
}

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text.append(Name).append(": ").append(Value).append("\r\n");
}

bool hasNoBody(int Status) {
  return Status == 204 || Status == 304 || (Status >= 100 && Status < 200);
}

} // namespace

Result<HttpRequest> parseRequest(const std::string &Head, std::string Body) {
  static thread_local HeadParser Parser;
  httplib::Request Parsed;
  if (!Parser.parse(Head, Parsed))
    return fail(ResultCode::RequestMalformed, "request could not be parsed");
  HttpRequest Request;
  Request.Method_ = Parsed.method;
  Request.Target_ = Parsed.target;
  Request.Body_ = std::move(Body);
  for (const std::pair<const std::string, std::string> &Field : Parsed.headers)
    if (!isLibraryField(Field.first))
      Request.Headers_.emplace_back(Field.first, Field.second);
  return Request;
}

std::optional<std::string> findHeader(const HeaderFields &Fields,
                                      std::string_view Name) {
  const HeaderFields::const_iterator It = std::find_if(
      Fields.begin(), Fields.end(), [Name](const HeaderField &Field) {
        return namesEqual(Field.first, Name);
      });
  if (It == Fields.end())
    return std::nullopt;
  return It->second;
}

bool isHopByHop(std::string_view Name, const HeaderFields &Fields) {
  for (const char *HopByHop :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"})
    if (namesEqual(Name, HopByHop))
      return true;
  for (const HeaderField &Field : Fields)
    if (namesEqual(Field.first, "Connection") &&
        listContains(Field.second, Name))
      return true;
  return false;
}

std::string serializeResponse(const HttpResponse &Response, bool KeepAlive,
                              bool IsHead) {
  constexpr std::size_t TypicalHeadBytes = 512;
  std::string Text;
  Text.reserve(Response.Body_.size() + TypicalHeadBytes);
  Text.append("HTTP/1.1 ").append(std::to_string(Response.Status_)).append(" ");
  Text.append(Response.Reason_).append("\r\n");
  const bool OmitsBody = IsHead || hasNoBody(Response.Status_);
  for (const HeaderField &Field : Response.Headers_)
    if (OmitsBody || !namesEqual(Field.first, "Content-Length"))
      appendField(Text, Field.first, Field.second);
  if (!OmitsBody)
    appendField(Text, "Content-Length", std::to_string(Response.Body_.size()));
  appendField(Text, "Connection", KeepAlive ? "keep-alive" : "close");
  Text.append("\r\n");
  if (!OmitsBody)
    Text.append(Response.Body_);
  return Text;
}

Outcome outcomeOf(const Failure &Cause, bool MayBeResend) {
  return MayBeResend || Cause.Code_ == ResultCode::InternalError
             ? Outcome::Unknown
             : Outcome::NotRun;
}

HttpResponse makeErrorResponse(ResultCode Code, Outcome RequestOutcome,
                               const std::string &Message) {
  const std::string CodeText = std::to_string(static_cast<int>(Code));
  const nlohmann::json Body = {{"code", static_cast<int>(Code)},
                               {"name", resultCodeName(Code)},
                               {"outcome", outcomeName(RequestOutcome)},
                               {"message", Message}};
  HttpResponse Response;
  Response.Status_ = httpStatus(Code);
  Response.Reason_ = resultCodeName(Code);
  Response.Headers_ = {{"Content-Type", "application/json"},
                       {"Kumquatpitch-Code", CodeText},
                       {"Kumquatpitch-Outcome", outcomeName(RequestOutcome)}};
  Response.Body_ = Body.dump() + "\n";
  return Response;
}

} // namespace kumquatpitch
