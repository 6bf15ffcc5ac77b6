// The commands of the one binary. Each parses its own options with getopt_long
// and gives the process's exit status.

#ifndef KUMQUATPITCH_COMMAND_H
#define KUMQUATPITCH_COMMAND_H

namespace kumquatpitch {

/// `serve --config FILE`: runs the daemon of an entry host until SIGTERM.
int runServe(int Argc, char **Argv);

/// `gateway --config FILE`: runs a host on the platform until SIGTERM.
int runGateway(int Argc, char **Argv);

/// `check FILE...`: checks settings and published documents offline.
int runCheck(int Argc, char **Argv);

} // namespace kumquatpitch

#endif
