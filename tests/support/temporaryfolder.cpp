#include "temporaryfolder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace Verbena::Test {

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "verbena-XXXXXX").string())
{
    if (mkdtemp(m_path.data()) == nullptr) {
        std::abort();
    }
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::write(const std::string &name, const std::string &text) const
{
    std::string path = m_path + "/" + name;
    std::ofstream(path) << text;
    return path;
}

const std::string &TemporaryFolder::path() const
{
    return m_path;
}

} // namespace Verbena::Test
