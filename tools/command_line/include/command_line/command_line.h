#pragma once

namespace banyancroft::tools {

/**
 * Parses the ABSL_FLAGs of a program and handles --help and --version. Flags may be spelled with dashes
 * (--admin-port) instead of the underscores of Abseil. Exits the process on an invalid flag.
 */
void parseCommandLine(int argc, char** argv, const char* program, const char* description);

} // namespace banyancroft::tools
