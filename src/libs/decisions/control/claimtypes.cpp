#include "claimtypes.h"

#include <algorithm>

namespace Verbena::Decisions {

ClaimResult ClaimResult::duplicate(const ClaimRecord &first, std::uint64_t requestHash)
{
    ClaimResult result;
    result.verdict = ClaimVerdict::Duplicate;
    result.outcome = first.outcome;
    result.isSameRequest = first.requestHash == requestHash;
    result.detail = "The idempotency key was used before.";
    return result;
}

ClaimResult ClaimResult::notClaimed(const char *detail)
{
    ClaimResult result;
    result.detail = detail;
    return result;
}

const Store::TableRow *findRow(const std::vector<Store::TableRow> &rows, const std::string &key)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const Store::TableRow &row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace Verbena::Decisions
