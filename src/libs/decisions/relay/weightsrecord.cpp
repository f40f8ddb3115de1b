#include "weightsrecord.h"

#include <algorithm>
#include <sstream>

namespace Verbena::Decisions {

namespace {

// Namings that are kept. Weights may be used for seconds after newer ones were named, and an engine takes half a second and more to load.
constexpr std::size_t mostNamings = 16;

// Milliseconds of the store's clock: a hundred years. Beyond it a row is garbled, and would not fit the clocks of hosts.
constexpr std::int64_t lastMoment = 3'155'760'000'000;

} // namespace

Core::Result<WeightsRecord> WeightsRecord::decode(const std::string &text)
{
    WeightsRecord record;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words(line);
        DatedWeights dated;
        std::int64_t moment = 0;
        if (!(words >> dated.after >> dated.version >> moment) || dated.after >= dated.version || moment < 0 || moment > lastMoment) {
            return Core::Error{Core::ErrorCode::InvalidArgument, "weights.record", "", "A line does not say which versions were named after which moment."};
        }
        dated.notBefore = Store::StoreTime(std::chrono::milliseconds(moment));
        record.note(dated);
    }
    return record;
}

std::string WeightsRecord::encode() const
{
    std::ostringstream lines;
    for (const DatedWeights &dated : m_namings) {
        lines << dated.after << ' ' << dated.version << ' ' << dated.notBefore.time_since_epoch().count() << '\n';
    }
    return lines.str();
}

void WeightsRecord::note(const DatedWeights &dated)
{
    const auto isBelow = [](const DatedWeights &known, std::uint64_t version) {
        return known.version < version;
    };
    const auto place = std::lower_bound(m_namings.begin(), m_namings.end(), dated.version, isBelow);
    if (place == m_namings.end() || place->version != dated.version) {
        m_namings.insert(place, dated);
    } else if (place->notBefore < dated.notBefore) {
        *place = dated;
    }
    if (m_namings.size() > mostNamings) {
        m_namings.erase(m_namings.begin());
    }
}

void WeightsRecord::merge(const WeightsRecord &other)
{
    for (const DatedWeights &dated : other.m_namings) {
        note(dated);
    }
}

bool WeightsRecord::knows(std::uint64_t version) const
{
    return std::any_of(m_namings.begin(), m_namings.end(), [version](const DatedWeights &dated) { return dated.version == version; });
}

const std::vector<DatedWeights> &WeightsRecord::namings() const
{
    return m_namings;
}

} // namespace Verbena::Decisions
