#pragma once

#include "worldsettings.h"

#include <support/temporaryfolder.h>

#include <map>
#include <string>

namespace Verbena::Soak {

/// \brief The host files of all processes, some of which are complete only later.
class HostFiles
{
public:
    /// \brief Writes the file of \a settings, or half of it until complete() is called, and returns its path.
    std::string write(const HostSettings &settings, bool isCompleteLater);

    /// \brief Completes all files.
    void complete();

private:
    Test::TemporaryFolder m_folder;
    std::map<std::string, std::string> m_incomplete; ///< The whole text, by name.
};

} // namespace Verbena::Soak
