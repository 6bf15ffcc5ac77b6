// Announced ends of connections. See announced-end.h.

#include "kumquatpitch/announced-end.h"

#include "kumquatpitch/http-text.h"

namespace kumquatpitch {

AnnouncedEnd announcedEnd(const HttpMessage &Response) {
  bool KeepsOpen = Response.header("Keep-Alive") != nullptr;
  for (const HeaderField &Field : Response.Headers_) {
    if (!headerNamesEqual(Field.first, "Connection"))
      continue;
    if (listContains(Field.second, "close"))
      return AnnouncedEnd::Close;
    KeepsOpen = KeepsOpen || listContains(Field.second, "keep-alive");
  }
  if (KeepsOpen)
    return AnnouncedEnd::KeepOpen;
  return Response.IsHttp10_ ? AnnouncedEnd::Close : AnnouncedEnd::Nothing;
}

const char *announcedEndName(AnnouncedEnd End) {
  switch (End) {
  case AnnouncedEnd::Nothing:
    return "nothing";
  case AnnouncedEnd::Close:
    return "close";
  case AnnouncedEnd::KeepOpen:
    return "keep_open";
  }
  return "unknown";
}

} // namespace kumquatpitch
