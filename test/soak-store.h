// A stand-in for the platform's store in the soak: versioned keys, a listing,
// a watch for changes after a revision, and outages.

#ifndef KUMQUATPITCH_SOAK_STORE_H
#define KUMQUATPITCH_SOAK_STORE_H

#include "kumquatpitch/http-server.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch::test {

enum class StoreFault : std::uint8_t {
  None,
  Refuse, ///< Requests are refused with `QueueFull`.
  Silent, ///< Requests are never answered.
  Slow    ///< Responses take 300 ms.
};

class SoakStore : public HttpHandler {
public:
  SoakStore(asio::io_context &Context) : Context_(Context) {}

  void put(const std::string &Key, const std::string &Value) {
    Values_[Key] = {Value, ++Revision_};
    History_[Revision_] = Key;
    keepCopy();
  }
  void remove(const std::string &Key) {
    Values_.erase(Key);
    History_[++Revision_] = Key;
    keepCopy();
  }
  /// Goes back to what was stored `Age` ago and gives out revisions again.
  void restore(std::chrono::steady_clock::duration Age) {
    ++Era_;
    Copies_.erase(Copies_.upper_bound(std::chrono::steady_clock::now() - Age),
                  Copies_.end());
    const Copy Restored =
        Copies_.empty() ? Copy() : std::prev(Copies_.end())->second;
    Values_ = Restored.Values_;
    History_ = Restored.History_;
    Revision_ = Restored.Revision_;
  }
  /// The stored value, or an empty text.
  std::string value(const std::string &Key) const {
    const std::map<std::string,
                   std::pair<std::string, std::uint64_t>>::const_iterator It =
        Values_.find(Key);
    return It == Values_.end() ? "" : It->second.first;
  }
  std::vector<std::string> keys() const {
    std::vector<std::string> Keys;
    for (const std::pair<const std::string,
                         std::pair<std::string, std::uint64_t>> &Entry :
         Values_)
      Keys.push_back(Entry.first);
    return Keys;
  }
  /// Drops the history, so that watchers have to list all keys again.
  void compact() { History_.clear(); }
  void setFault(StoreFault Fault) { Fault_ = Fault; }

  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    if (Fault_ == StoreFault::Silent)
      return Unanswered_.push_back(std::move(Exchange));
    if (Fault_ == StoreFault::Refuse)
      return Exchange->answer(reject(ResultCode::QueueFull));
    const std::shared_ptr<asio::steady_timer> Delay =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::milliseconds(Fault_ == StoreFault::Slow ? 300 : 3));
    Delay->async_wait([this, Exchange, Delay](const asio::error_code &) {
      HttpMessage Response = responseTo(Exchange->request().Target_);
      Response.Headers_.emplace_back("Store-Era", std::to_string(Era_));
      Exchange->answer(Response);
    });
  }

  HttpMessage reject(ResultCode Code) override {
    HttpMessage Response;
    Response.Status_ = httpStatus(Code);
    Response.Headers_.emplace_back("Store-Era", std::to_string(Era_));
    return Response;
  }

private:
  using Json = nlohmann::json;

  static std::string queryParameter(const std::string &Target,
                                    const std::string &Name) {
    std::size_t Position = Target.find("?" + Name + "=");
    if (Position == std::string::npos)
      Position = Target.find("&" + Name + "=");
    if (Position == std::string::npos)
      return "";
    Position += Name.size() + 2;
    return Target.substr(Position, Target.find('&', Position) - Position);
  }

  static std::string base64(const std::string &Text) {
    std::string Encoded((Text.size() + 2) / 3 * 4 + 1, '\0');
    const int Size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Encoded.data()),
                        reinterpret_cast<const unsigned char *>(Text.data()),
                        static_cast<int>(Text.size()));
    Encoded.resize(static_cast<std::size_t>(Size));
    return Encoded;
  }

  Json item(const std::string &Key) const {
    const std::map<std::string,
                   std::pair<std::string, std::uint64_t>>::const_iterator It =
        Values_.find(Key);
    return Json{{"Key", Key},
                {"Value", base64(It->second.first)},
                {"Revision", It->second.second},
                {"Created", It->second.second},
                {"Lease", 0}};
  }

  HttpMessage responseTo(const std::string &Target) const {
    HttpMessage Response;
    Response.Status_ = 200;
    Json Body;
    if (Target.rfind("/kv-range", 0) == 0) {
      Body = {{"items", Json::array()}, {"HasMore", false}};
      for (const std::pair<const std::string,
                           std::pair<std::string, std::uint64_t>> &Entry :
           Values_)
        Body["items"].push_back(item(Entry.first));
    } else if (Target.rfind("/kv-key", 0) == 0) {
      const std::string Key = queryParameter(Target, "Key");
      if (Values_.count(Key) == 0)
        Response.Status_ = 404;
      else
        Body = item(Key);
    } else {
      const std::uint64_t After = std::stoull(queryParameter(Target, "after"));
      const bool IsCompacted =
          After > Revision_ ||
          (After < Revision_ &&
           (History_.empty() || History_.begin()->first > After + 1));
      if (IsCompacted) {
        Response.Status_ = 410;
        return Response;
      }
      Body = {{"events", Json::array()}};
      for (std::map<std::uint64_t, std::string>::const_iterator It =
               History_.upper_bound(After);
           It != History_.end(); ++It)
        Body["events"].push_back(Values_.count(It->second)
                                     ? item(It->second)
                                     : Json{{"Key", It->second},
                                            {"Revision", It->first},
                                            {"Removed", true}});
    }
    Body["AsOf"] = Revision_;
    Response.Body_ = Body.dump();
    return Response;
  }

  struct Copy {
    std::map<std::string, std::pair<std::string, std::uint64_t>> Values_;
    std::map<std::uint64_t, std::string> History_;
    std::uint64_t Revision_ = 0;
  };

  void keepCopy() {
    Copies_[std::chrono::steady_clock::now()] =
        Copy{Values_, History_, Revision_};
  }

  asio::io_context &Context_;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Values_;
  std::map<std::uint64_t, std::string> History_; ///< Changed key by revision.
  std::uint64_t Revision_ = 0;
  std::uint64_t Era_ = 1;
  /// What was stored after each change, by its time.
  std::map<std::chrono::steady_clock::time_point, Copy> Copies_;
  StoreFault Fault_ = StoreFault::None;
  std::vector<std::shared_ptr<HttpExchange>> Unanswered_;
};

} // namespace kumquatpitch::test

#endif
