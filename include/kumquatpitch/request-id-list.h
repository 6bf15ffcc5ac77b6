// Ids of callers' requests for one line of the log. Callers choose ids and
// their number, so that both are bounded. Used by HttpServer; no I/O.

#ifndef KUMQUATPITCH_REQUEST_ID_LIST_H
#define KUMQUATPITCH_REQUEST_ID_LIST_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// Counts requests and keeps the ids of the first ones.
class RequestIdList {
public:
  static constexpr std::size_t MaxIds = 16;
  /// Longer ids are cut; the beginning is enough to find a request.
  static constexpr std::size_t MaxIdBytes = 64;

  /// Adds a request; `Id` may be empty, which is listed as `none`.
  void add(std::string_view Id) {
    if (Ids_.size() < MaxIds)
      Ids_.emplace_back(Id.empty() ? "none" : Id.substr(0, MaxIdBytes));
    ++Count_;
  }

  /// Adds the requests of another list.
  void add(const RequestIdList &Other) {
    for (const std::string &Id : Other.Ids_)
      add(std::string_view(Id));
    Count_ += Other.Count_ - Other.Ids_.size();
  }

  /// Requests, also those whose ids are not kept.
  std::size_t count() const { return Count_; }
  /// The ids, separated by spaces.
  std::string text() const {
    std::string Text;
    for (const std::string &Id : Ids_)
      Text.append(Text.empty() ? "" : " ").append(Id);
    return Text;
  }

  bool operator==(const RequestIdList &) const = default;

private:
  std::size_t Count_ = 0;
  std::vector<std::string> Ids_; ///< At most MaxIds.
};

} // namespace kumquatpitch

#endif
