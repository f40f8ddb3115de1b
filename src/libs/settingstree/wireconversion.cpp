#include "wireconversion.h"

#include <algorithm>

namespace Verbena::SettingsTree {

namespace {

constexpr std::uint64_t maximumAge = 1ULL << 50; // Microseconds, some 35 years; keeps sums of a peer's values in range.

} // namespace

verbena::wire::SettingsDigest toWire(const Decisions::SettingsDigest &digest)
{
    verbena::wire::SettingsDigest message;
    message.set_highest_revision(digest.revision);
    message.set_digest(digest.hash);
    if (digest.verifiedAge.has_value()) {
        message.set_verified_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(digest.verifiedAge->count(), 0)) + 1);
    }
    return message;
}

verbena::wire::SettingsPush toWire(const Decisions::SettingsDelta &delta)
{
    verbena::wire::SettingsPush message;
    message.set_since_revision(delta.since);
    message.set_covered_revision(delta.covered);
    message.set_highest_revision(delta.highest);
    for (const Decisions::SettingsRow &row : delta.rows) {
        verbena::wire::SettingsRow &added = *message.add_rows();
        added.set_path(row.path);
        added.set_revision(row.revision);
        added.set_deleted(row.isDeleted);
        added.set_content(row.content);
    }
    return message;
}

Decisions::SettingsDigest fromWire(const verbena::wire::SettingsDigest &digest)
{
    Decisions::SettingsDigest result{digest.highest_revision(), digest.digest(), std::nullopt};
    if (digest.verified_age_us() > 0) {
        result.verifiedAge = std::chrono::microseconds(std::min(digest.verified_age_us() - 1, maximumAge));
    }
    return result;
}

Decisions::SettingsDelta fromWire(const verbena::wire::SettingsPush &push)
{
    Decisions::SettingsDelta delta{push.since_revision(), push.covered_revision(), push.highest_revision(), {}, false};
    delta.rows.reserve(static_cast<std::size_t>(push.rows_size()));
    for (const verbena::wire::SettingsRow &row : push.rows()) {
        delta.rows.push_back({row.path(), row.content(), row.revision(), row.deleted()});
    }
    return delta;
}

} // namespace Verbena::SettingsTree
