#include "weightsrecord.h"

#include <algorithm>
#include <sstream>

namespace Verbena::Decisions {

namespace {

// Maximum number of entries. Weights may be used for seconds after newer ones were announced, and an engine takes half a second or more to load.
constexpr std::size_t maxEntries = 16;

// Maximum time in milliseconds of the store's clock: a hundred years. A larger number means a corrupt row, and would overflow the clocks of hosts.
constexpr std::int64_t latestTime = 3'155'760'000'000;

} // namespace

Core::Result<WeightsRecord> WeightsRecord::decode(const std::string &text)
{
    WeightsRecord record;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words(line);
        DatedWeights dated;
        std::int64_t milliseconds = 0;
        if (!(words >> dated.after >> dated.version >> milliseconds) || dated.after >= dated.version || milliseconds < 0 || milliseconds > latestTime) {
            return Core::Error{Core::ErrorCode::InvalidArgument,
                "weights.record",
                "",
                "A line is not of the form: after version milliseconds, with after < version and a valid store time."};
        }
        dated.notBefore = Store::StoreTime(std::chrono::milliseconds(milliseconds));
        record.add(dated);
    }
    return record;
}

std::string WeightsRecord::encode() const
{
    std::ostringstream lines;
    for (const DatedWeights &dated : m_entries) {
        lines << dated.after << ' ' << dated.version << ' ' << dated.notBefore.time_since_epoch().count() << '\n';
    }
    return lines.str();
}

void WeightsRecord::add(const DatedWeights &dated)
{
    const auto isBelow = [](const DatedWeights &entry, std::uint64_t version) {
        return entry.version < version;
    };
    const auto place = std::lower_bound(m_entries.begin(), m_entries.end(), dated.version, isBelow);
    if (place == m_entries.end() || place->version != dated.version) {
        m_entries.insert(place, dated);
    } else if (place->notBefore < dated.notBefore) {
        *place = dated;
    }
    if (m_entries.size() > maxEntries) {
        m_entries.erase(m_entries.begin());
    }
}

void WeightsRecord::merge(const WeightsRecord &other)
{
    for (const DatedWeights &dated : other.m_entries) {
        add(dated);
    }
}

void WeightsRecord::withdrawAbove(std::uint64_t version)
{
    std::erase_if(m_entries, [version](const DatedWeights &dated) { return dated.version > version; });
}

bool WeightsRecord::contains(std::uint64_t version) const
{
    return notBefore(version).has_value();
}

std::optional<Store::StoreTime> WeightsRecord::notBefore(std::uint64_t version) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [version](const DatedWeights &dated) { return dated.version == version; });
    return found == m_entries.end() ? std::nullopt : std::optional(found->notBefore);
}

std::uint64_t WeightsRecord::newestUpTo(std::uint64_t version) const
{
    std::uint64_t newest = 0;
    for (const DatedWeights &dated : m_entries) {
        newest = dated.after <= version ? std::max(newest, dated.after) : newest;
        newest = dated.version <= version ? std::max(newest, dated.version) : newest;
    }
    return newest;
}

const std::vector<DatedWeights> &WeightsRecord::entries() const
{
    return m_entries;
}

} // namespace Verbena::Decisions
