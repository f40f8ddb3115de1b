#pragma once

/// \brief What a module defines in place of main(): runs the program and returns its exit status.
///
/// SIGHUP, SIGTERM and SIGINT are held by then, as Application::prepareSignals() does.
extern "C" [[gnu::visibility("default")]] int verbenaMain(int argc, char **argv);

namespace Verbena::Loader {

using ProgramEntry = int (*)(int, char **);

inline constexpr const char *programEntryName = "verbenaMain";

} // namespace Verbena::Loader
