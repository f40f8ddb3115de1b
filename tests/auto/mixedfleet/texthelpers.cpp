#include "texthelpers.h"

#include <array>
#include <cstdio>

namespace Verbena {

std::vector<std::string> numbered(const std::string &prefix, std::size_t count)
{
    std::vector<std::string> words;
    for (std::size_t number = 0; number < count; ++number) {
        words.push_back(prefix + std::to_string(number));
    }
    return words;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += text.empty() ? "" : " ";
        text += word;
    }
    return text;
}

std::string hex(std::uint64_t number)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return digits.data();
}

std::string hex(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        std::array<char, 3> digits{};
        std::snprintf(digits.data(), digits.size(), "%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
        text += digits.data();
    }
    return text;
}

} // namespace Verbena
