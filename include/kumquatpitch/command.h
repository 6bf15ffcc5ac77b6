// Entry points of the commands of the kumquatpitch binary. Each parses its own
// options with getopt_long and returns the exit status of the process.

#ifndef KUMQUATPITCH_COMMAND_H
#define KUMQUATPITCH_COMMAND_H

namespace kumquatpitch {

/// `serve --config FILE`: runs the daemon of an entry host until SIGTERM.
int runServe(int Argc, char **Argv);

/// `gateway --config FILE`: runs a host on the platform until SIGTERM.
int runGateway(int Argc, char **Argv);

/// `check FILE...`: validates settings and published documents offline.
int runCheck(int Argc, char **Argv);

} // namespace kumquatpitch

#endif
