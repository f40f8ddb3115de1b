#include "processmemory.h"

#include <fstream>
#include <string>

namespace Verbena::Core {

namespace {

constexpr std::uint64_t bytesPerKibibyte = 1024;

} // namespace

std::uint64_t processMemory(pid_t process, std::string_view name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        std::uint64_t kibibytes = 0;
        if (word == name && status >> kibibytes) {
            return kibibytes * bytesPerKibibyte;
        }
    }
    return 0;
}

} // namespace Verbena::Core
