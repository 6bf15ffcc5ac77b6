// Parsing and writing of HTTP messages. See http-message.h.

#include "kumquatpitch/http-message.h"

#include <algorithm>
#include <cstring>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace kumquatpitch {

namespace {

/// Gives the library a head from memory and drops what it writes.
class HeadStream : public httplib::Stream {
public:
  explicit HeadStream(std::string_view Bytes) : Bytes_(Bytes) {}

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char *Out, size_t Size) override {
    const std::size_t Count = std::min(Size, Bytes_.size());
    std::memcpy(Out, Bytes_.data(), Count);
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

/// Reaches the library's request parser, which is protected.
class HeadParser : public httplib::Server {
public:
  HeadParser() {
    set_pre_routing_handler([](const httplib::Request &, httplib::Response &) {
      return HandlerResponse::Handled;
    });
  }

  bool parse(const std::string &Head, httplib::Request &Out) {
    HeadStream Stream(Head);
    bool IsClosed = false;
    bool IsParsed = false;
    process_request(Stream, true, IsClosed, [&](httplib::Request &Parsed) {
      Out = Parsed;
      IsParsed = true;
    });
    return IsParsed;
  }
};

bool sameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// Fields that the library adds to a parsed request by itself.
bool isLibraryField(std::string_view Name) {
  for (const char *Added :
       {"REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT"})
    if (Name == Added)
      return true;
  return false;
}

bool namesField(const std::string &List, std::string_view Name) {
  std::size_t From = 0;
  while (From <= List.size()) {
    const std::size_t Comma = std::min(List.find(',', From), List.size());
    std::string_view Item = std::string_view(List).substr(From, Comma - From);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (sameName(Item, Name))
      return true;
    From = Comma + 1;
  }
  return false;
}

void addField(std::string &Out, std::string_view Name, std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
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
      Fields.begin(), Fields.end(),
      [Name](const HeaderField &Field) { return sameName(Field.first, Name); });
  if (It == Fields.end())
    return std::nullopt;
  return It->second;
}

bool isHopByHop(std::string_view Name, const HeaderFields &Fields) {
  for (const char *Hop :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"})
    if (sameName(Name, Hop))
      return true;
  for (const HeaderField &Field : Fields)
    if (sameName(Field.first, "Connection") && namesField(Field.second, Name))
      return true;
  return false;
}

std::string serializeAnswer(const HttpAnswer &Answer, bool KeepOpen,
                            bool IsHead) {
  constexpr std::size_t TypicalHeadBytes = 512;
  std::string Out;
  Out.reserve(Answer.Body_.size() + TypicalHeadBytes);
  Out.append("HTTP/1.1 ").append(std::to_string(Answer.Status_)).append(" ");
  Out.append(Answer.Reason_).append("\r\n");
  const bool BodyIsAbsent = IsHead || hasNoBody(Answer.Status_);
  for (const HeaderField &Field : Answer.Headers_)
    if (BodyIsAbsent || !sameName(Field.first, "Content-Length"))
      addField(Out, Field.first, Field.second);
  if (!BodyIsAbsent)
    addField(Out, "Content-Length", std::to_string(Answer.Body_.size()));
  addField(Out, "Connection", KeepOpen ? "keep-alive" : "close");
  Out.append("\r\n");
  if (!BodyIsAbsent)
    Out.append(Answer.Body_);
  return Out;
}

HttpAnswer makeErrorAnswer(ResultCode Code, Outcome What,
                           const std::string &Message) {
  const std::string Number = std::to_string(static_cast<int>(Code));
  const nlohmann::json Body = {{"code", static_cast<int>(Code)},
                               {"name", resultCodeName(Code)},
                               {"outcome", outcomeName(What)},
                               {"message", Message}};
  HttpAnswer Answer;
  Answer.Status_ = httpStatus(Code);
  Answer.Reason_ = resultCodeName(Code);
  Answer.Headers_ = {{"Content-Type", "application/json"},
                     {"Kumquatpitch-Code", Number},
                     {"Kumquatpitch-Outcome", outcomeName(What)}};
  Answer.Body_ = Body.dump() + "\n";
  return Answer;
}

} // namespace kumquatpitch
