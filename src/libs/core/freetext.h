#pragma once

#include <string>

namespace Verbena::Core {

/// \brief Empties \a text and frees its memory, which the assignment of an empty text may keep.
inline void freeText(std::string &text)
{
    std::string().swap(text);
}

} // namespace Verbena::Core
