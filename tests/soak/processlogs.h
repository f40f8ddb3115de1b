#pragma once

#include "supervisedprocess.h"

#include <map>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief The last part of what each process has logged, by its name.
class ProcessLogs
{
public:
    /// \brief Takes what \a process has logged since; null for no process.
    void collect(SupervisedProcess *process);

    /// \brief Returns the lines that name the request \a id, with their process, at most \a most.
    std::vector<std::string> linesOf(const std::string &id, std::size_t most) const;

    /// \brief Writes a file for each name to \a folder.
    void write(const std::string &folder) const;

private:
    std::map<std::string, std::string> m_texts;
};

} // namespace Verbena::Soak
