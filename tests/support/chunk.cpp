#include "chunk.h"

#include <array>
#include <cstdio>

namespace Verbena::Test {

std::string chunk(const std::string &data)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace Verbena::Test
