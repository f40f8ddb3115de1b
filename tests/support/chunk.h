#pragma once

#include <string>

namespace Verbena::Test {

/// \brief Returns \a data as one chunk of a chunked HTTP message; the last chunk, without data, ends the message.
std::string chunk(const std::string &data);

} // namespace Verbena::Test
