// Checks the status of a response before the HTTP libraries read it: they take
// any number of digits, also from `000` and `0200`. Used by MessageParser and
// ResponseSyntaxCheck; no I/O.

#ifndef KUMQUATPITCH_STATUS_LINE_H
#define KUMQUATPITCH_STATUS_LINE_H

#include <cstdint>
#include <string_view>

namespace kumquatpitch {

/// Reads the status of one response. The status must have three digits and be
/// from 100 to 599 (RFC 9110, 15). 101 is invalid as well: no request of a host
/// asks for another protocol. The rest of the line is not checked.
class StatusLineCheck {
public:
  /// Takes the next bytes of the response; those behind the status are ignored.
  void feed(std::string_view Bytes);

  /// True if no further bytes can make the status a valid one.
  bool isInvalid() const { return Part_ == Part::Invalid; }

private:
  enum class Part : std::uint8_t {
    Start,    ///< Line breaks before the status line.
    Protocol, ///< Name and version of the protocol.
    Status,
    Rest,
    Invalid,
  };

  Part next(char Byte);
  Part nextOfStatus(char Byte);

  Part Part_ = Part::Start;
  int Digits_ = 0; ///< Of the status, at most three.
  int Status_ = 0; ///< Value of the digits.
};

} // namespace kumquatpitch

#endif
