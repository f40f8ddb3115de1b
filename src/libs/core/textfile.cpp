#include "textfile.h"

#include <array>
#include <fstream>

namespace Verbena::Core {

Result<std::string> readTextFile(const std::string &path, std::size_t maximumBytes, const char *step)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return Error{ErrorCode::NotFound, step, path, "The file cannot be opened."};
    }
    std::string text;
    std::array<char, 4096> part{};
    while (file && text.size() <= maximumBytes) {
        file.read(part.data(), part.size());
        text.append(part.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (text.size() > maximumBytes) {
        return Error{ErrorCode::ResourceExhausted, step, path, "The file is too long."};
    }
    if (file.bad()) {
        return Error{ErrorCode::NotFound, step, path, "The file cannot be read."};
    }
    return text;
}

} // namespace Verbena::Core
