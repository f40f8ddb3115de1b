#pragma once

#include "storetime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Store {

/// \brief What a process knows of a table, in short.
struct TableDigest
{
    std::string table;
    std::uint64_t changedRevision = 0; ///< Of the last change that it knows, or of the time when it read the whole table, whichever is later.
    std::uint64_t coveredRevision = 0; ///< It knows all changes up to this one.
    std::optional<StoreTime> verifiedAt; ///< It knows all that the store acknowledged before this moment of the store's clock.
};

} // namespace Verbena::Store
