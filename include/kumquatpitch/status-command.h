// The command `status`: what each host does now.

#ifndef KUMQUATPITCH_STATUS_COMMAND_H
#define KUMQUATPITCH_STATUS_COMMAND_H

namespace kumquatpitch {

/// Runs the command; `Argv[0]` is its name. Gives the exit status: 0, the area
/// of a failure's code, or 1 when a host did not answer.
int runStatus(int Argc, char **Argv);

} // namespace kumquatpitch

#endif
