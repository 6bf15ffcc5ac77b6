// Status lines of faulty backend servers that hold no status. Used by the tests
// of parsers, of the front and of a gateway process, and by AnswerComposer.

#ifndef KUMQUATPITCH_ODD_STATUS_LINES_H
#define KUMQUATPITCH_ODD_STATUS_LINES_H

#include <array>
#include <string>

namespace kumquatpitch::test {

/// Status and reason. 101 is among them since no request asks for it.
constexpr std::array OddStatusLines{
    "000 Zero", "000",      "099 X",
    "20 OK",    "1 X",      "101 Switching Protocols",
    "0200 OK",  "00200 OK", "600 X",
    "999 X",    "-01 X",    "2000 OK"};

/// The answer with the status line replaced.
inline std::string withStatusLine(const std::string &Answer,
                                  const std::string &StatusLine) {
  return "HTTP/1.1 " + StatusLine + Answer.substr(Answer.find("\r\n"));
}

} // namespace kumquatpitch::test

#endif
