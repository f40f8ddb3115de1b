#include "tablesize.h"

#include <numeric>

namespace Verbena::Store {

std::size_t heldBytes(const TableRow &row)
{
    return sizeof(TableRow) + row.key.size() + row.value.size();
}

std::size_t heldBytes(const std::vector<TableRow> &rows)
{
    return std::accumulate(rows.begin(), rows.end(), std::size_t{0}, [](std::size_t sum, const TableRow &row) { return sum + heldBytes(row); });
}

} // namespace Verbena::Store
