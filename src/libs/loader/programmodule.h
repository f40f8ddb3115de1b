#pragma once

#include "programentry.h"

#include <array>

#include <climits>

namespace Verbena::Loader {

/// \brief The part of a program that needs libraries. It stays loaded until the process ends.
///
/// Has no factory that returns a Core::Result, as that needs the C++ library.
class ProgramModule
{
public:
    /// \brief Loads the module that lies at \a relativePath, seen from the folder of this process's program, with all its libraries.
    explicit ProgramModule(const char *relativePath);

    /// \brief The module's entry; null if it could not be loaded.
    ProgramEntry entry() const;

    /// \brief The file of the module; empty if the program's own place is not known.
    const char *path() const;

    /// \brief Why the module could not be loaded.
    const char *failure() const;

private:
    bool findPath(const char *relativePath);
    void load();

    ProgramEntry m_entry = nullptr;
    const char *m_failure = "";
    std::array<char, PATH_MAX> m_path{};
};

} // namespace Verbena::Loader
