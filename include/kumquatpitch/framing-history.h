// How each server has told the end of its latest answers. A server that states
// lengths and suddenly does not has probably failed in the middle. Used by
// HttpClient; no I/O.

#ifndef KUMQUATPITCH_FRAMING_HISTORY_H
#define KUMQUATPITCH_FRAMING_HISTORY_H

#include "kumquatpitch/peer-transport.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace kumquatpitch {

class FramingHistory {
public:
  /// Records an answer: with a length or chunks, or one that ended with its
  /// connection.
  void record(const Endpoint &Server, bool IsFramed);

  /// True if more than half of the server's latest answers were framed. False
  /// for a server without any.
  bool framesAnswers(const Endpoint &Server) const;

private:
  /// Bounds the memory to about 400 KB. Beyond it all servers are forgotten.
  static constexpr std::size_t MaxServers = 4'096;
  static constexpr std::uint32_t MaxAnswers = 16;

  struct Answers {
    std::uint32_t Count_ = 0;  ///< Latest answers, at most MaxAnswers.
    std::uint32_t Framed_ = 0; ///< Bit 0: the latest one was framed.
  };

  std::map<Endpoint, Answers> Servers_; ///< At most MaxServers.
};

} // namespace kumquatpitch

#endif
