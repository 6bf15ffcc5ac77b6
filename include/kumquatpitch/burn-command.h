// The command `burn`, which reports how fast error budgets are used up.

#ifndef KUMQUATPITCH_BURN_COMMAND_H
#define KUMQUATPITCH_BURN_COMMAND_H

namespace kumquatpitch {

/// Runs the command; `Argv[0]` is its name. Returns the exit status: 0 on
/// success, 1 if a host did not answer, otherwise the area of the failure's
/// result code.
int runBurn(int Argc, char **Argv);

} // namespace kumquatpitch

#endif
