#pragma once

namespace banyancroft::tools {

/**
 * Reads the ABSL_FLAGs of a program and serves --help and --version. Flags are written with dashes
 * (--admin-port); Abseil's own spelling has underscores. Ends the process on a wrong flag.
 */
void parseCommandLine(int argc, char** argv, const char* program, const char* description);

} // namespace banyancroft::tools
