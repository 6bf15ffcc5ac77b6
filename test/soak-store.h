// A stand-in of the platform's store for the soak: keys with revisions, a
// listing, changes from a revision, and outages.

#ifndef KUMQUATPITCH_SOAK_STORE_H
#define KUMQUATPITCH_SOAK_STORE_H

#include "kumquatpitch/http-server.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <string>

namespace kumquatpitch::test {

enum class StoreFault : std::uint8_t { None, Refuse, Silent, Slow };

class SoakStore : public HttpHandler {
public:
  SoakStore(asio::io_context &Context) : Context_(Context) {}

  void put(const std::string &Key, const std::string &Value) {
    Values_[Key] = {Value, ++Revision_};
    History_[Revision_] = Key;
  }
  void remove(const std::string &Key) {
    Values_.erase(Key);
    History_[++Revision_] = Key;
  }
  /// Drops the history, so that readers have to list anew.
  void compact() { History_.clear(); }
  void setFault(StoreFault Fault) { Fault_ = Fault; }

  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    if (Fault_ == StoreFault::Silent)
      return Lost_.push_back(std::move(Exchange));
    if (Fault_ == StoreFault::Refuse)
      return Exchange->answer(reject(ResultCode::QueueFull));
    const std::shared_ptr<asio::steady_timer> Delay =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::milliseconds(Fault_ == StoreFault::Slow ? 300 : 3));
    Delay->async_wait([this, Exchange, Delay](const asio::error_code &) {
      Exchange->answer(answerTo(Exchange->request().Target_));
    });
  }

  HttpMessage reject(ResultCode Code) override {
    HttpMessage Answer;
    Answer.Status_ = httpStatus(Code);
    return Answer;
  }

private:
  using Json = nlohmann::json;

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find("?" + Name + "=");
    if (At == std::string::npos)
      At = Target.find("&" + Name + "=");
    if (At == std::string::npos)
      return "";
    At += Name.size() + 2;
    return Target.substr(At, Target.find('&', At) - At);
  }

  static std::string base64(const std::string &Text) {
    std::string Out((Text.size() + 2) / 3 * 4 + 1, '\0');
    const int Size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                        reinterpret_cast<const unsigned char *>(Text.data()),
                        static_cast<int>(Text.size()));
    Out.resize(static_cast<std::size_t>(Size));
    return Out;
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

  HttpMessage answerTo(const std::string &Target) const {
    HttpMessage Answer;
    Answer.Status_ = 200;
    Json Body;
    if (Target.rfind("/kv-range", 0) == 0) {
      Body = {{"items", Json::array()}, {"HasMore", false}};
      for (const std::pair<const std::string,
                           std::pair<std::string, std::uint64_t>> &Each :
           Values_)
        Body["items"].push_back(item(Each.first));
    } else if (Target.rfind("/kv-key", 0) == 0) {
      Body = item(parameter(Target, "Key"));
    } else {
      const std::uint64_t After = std::stoull(parameter(Target, "after"));
      const bool IsGone =
          After < Revision_ &&
          (History_.empty() || History_.begin()->first > After + 1);
      if (IsGone) {
        Answer.Status_ = 410;
        return Answer;
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
    Answer.Body_ = Body.dump();
    return Answer;
  }

  asio::io_context &Context_;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Values_;
  std::map<std::uint64_t, std::string> History_; ///< Key changed by revision.
  std::uint64_t Revision_ = 0;
  StoreFault Fault_ = StoreFault::None;
  std::vector<std::shared_ptr<HttpExchange>> Lost_;
};

} // namespace kumquatpitch::test

#endif
