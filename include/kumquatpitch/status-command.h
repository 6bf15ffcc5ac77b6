// The `status` command: prints the current state of hosts.

#ifndef KUMQUATPITCH_STATUS_COMMAND_H
#define KUMQUATPITCH_STATUS_COMMAND_H

namespace kumquatpitch {

/// Runs the command; `Argv[0]` is its name. Returns the exit status: 0 on
/// success, 1 when a host did not answer, otherwise the first digit of the
/// failure's result code.
int runStatus(int Argc, char **Argv);

} // namespace kumquatpitch

#endif
