#include "programmodule.h"

#include <cerrno>
#include <cstring>

#include <dlfcn.h>
#include <unistd.h>

namespace Verbena::Loader {

namespace {

// Names the program that runs, wherever it was started from and whatever its caller calls it.
constexpr const char *ownProgram = "/proc/self/exe";

} // namespace

ProgramModule::ProgramModule(const char *relativePath)
{
    if (findPath(relativePath)) {
        load();
    }
}

bool ProgramModule::findPath(const char *relativePath)
{
    const ssize_t length = readlink(ownProgram, m_path.data(), m_path.size() - 1);
    if (length < 0) {
        m_failure = std::strerror(errno);
        return false;
    }
    char *const name = std::strrchr(m_path.data(), '/') + 1; // The path is absolute.
    const std::size_t size = std::strlen(relativePath) + 1;
    if (size > static_cast<std::size_t>(m_path.data() + m_path.size() - name)) {
        m_failure = std::strerror(ENAMETOOLONG);
        return false;
    }
    std::memcpy(name, relativePath, size);
    return true;
}

void ProgramModule::load()
{
    void *const module = dlopen(m_path.data(), RTLD_NOW | RTLD_LOCAL);
    void *const entry = module == nullptr ? nullptr : dlsym(module, programEntryName);
    if (entry == nullptr) {
        m_failure = dlerror();
        return;
    }
    m_entry = reinterpret_cast<ProgramEntry>(entry);
}

ProgramEntry ProgramModule::entry() const
{
    return m_entry;
}

const char *ProgramModule::path() const
{
    return m_path.data();
}

const char *ProgramModule::failure() const
{
    return m_failure;
}

} // namespace Verbena::Loader
