#pragma once

#include <string>

namespace Verbena::Test {

/// \brief A folder for the files of one test; it is removed with all in it.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /// \brief Writes \a text to the file \a name and returns its path.
    std::string write(const std::string &name, const std::string &text) const;

    const std::string &path() const;

private:
    std::string m_path;
};

} // namespace Verbena::Test
