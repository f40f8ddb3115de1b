#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbena {

/// \brief Returns \a prefix with the numbers from 0 to \a count - 1 behind it.
std::vector<std::string> numbered(const std::string &prefix, std::size_t count);

/// \brief Returns \a words with a space between them.
std::string joined(const std::vector<std::string> &words);

/// \brief Returns \a number in 16 hexadecimal digits.
std::string hex(std::uint64_t number);

/// \brief Returns \a bytes in hexadecimal digits.
std::string hex(const std::string &bytes);

} // namespace Verbena
