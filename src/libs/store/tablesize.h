#pragma once

#include "tableservice.h"

#include <cstddef>
#include <vector>

namespace Verbena::Store {

/// \brief Maximum size in bytes of a table, by heldBytes(), that a process reads or keeps.
///
/// Several times the settings of all organisations of the target. Tables arrive page by page, so that no call's own limit bounds them.
constexpr std::size_t maximumTableBytes = 32 * 1024 * 1024;

/// \brief Returns how many bytes \a row takes with its texts.
std::size_t heldBytes(const TableRow &row);

/// \brief Returns how many bytes \a rows take with their texts.
std::size_t heldBytes(const std::vector<TableRow> &rows);

} // namespace Verbena::Store
