#pragma once

#include "storetime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Store {

/// \brief Summary of how current a process's copy of a table is.
struct TableDigest
{
    std::string table;
    std::uint64_t changedRevision = 0; ///< Revision of its last change, or at which it read the whole table, whichever is later.
    std::uint64_t coveredRevision = 0; ///< Revision up to which it has all changes.
    std::optional<StoreTime> verifiedAt; ///< Store time before which it has all acknowledged changes.
    std::uint64_t contentHash = 0; ///< Hash of its rows from changedRevision to coveredRevision; 0 if it does not compute one.
};

} // namespace Verbena::Store
