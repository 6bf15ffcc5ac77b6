// Name of the sources that a binary was built from. support/release-id.cmake
// generates its definition with each build; run in a checkout, it prints the
// name of that state.

#ifndef KUMQUATPITCH_RELEASE_H
#define KUMQUATPITCH_RELEASE_H

namespace kumquatpitch {

/// The version and 12 digits of a hash of the sources, such as
/// `0.1.0-3f2a9c01d7e4`.
const char *releaseId();

} // namespace kumquatpitch

#endif
