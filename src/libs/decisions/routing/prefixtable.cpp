#include "prefixtable.h"

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

PrefixTable::PrefixTable(std::size_t size)
    : m_sets(std::max<std::size_t>(1, (size + keysPerSet - 1) / keysPerSet))
{
}

const PrefixTable::Set &PrefixTable::setOf(PrefixKey key) const
{
    return m_sets[static_cast<std::uint64_t>(key) % m_sets.size()];
}

const PrefixRecord *PrefixTable::find(PrefixKey key) const
{
    for (const PrefixRecord &record : setOf(key)) {
        if (record.isUsed && record.key == key) {
            return &record;
        }
    }
    return nullptr;
}

PrefixRecord *PrefixTable::findRecord(PrefixKey key)
{
    return const_cast<PrefixRecord *>(std::as_const(*this).find(key));
}

double PrefixTable::demand(PrefixKey key, Core::TimePoint now) const
{
    const PrefixRecord *record = find(key);
    return record == nullptr ? 0 : record->demand.at(now);
}

void PrefixTable::recordRequest(PrefixKey key, Core::TimePoint now)
{
    PrefixRecord *record = findRecord(key);
    if (record == nullptr) {
        Set &set = m_sets[static_cast<std::uint64_t>(key) % m_sets.size()];
        record = &*std::min_element(
            set.begin(), set.end(), [now](const PrefixRecord &left, const PrefixRecord &right) { return left.demand.at(now) < right.demand.at(now); });
        *record = PrefixRecord{};
        record->key = key;
        record->isUsed = true;
    }
    record->demand.add(now);
}

void PrefixTable::setHolder(PrefixKey key, const PrefixHolder &holder)
{
    PrefixRecord *record = findRecord(key);
    if (record == nullptr) {
        return;
    }
    auto &holders = record->holders;
    auto slot = std::find_if(holders.begin(), holders.end(), [&holder](const PrefixHolder &entry) { return entry.id == holder.id; });
    if (slot == holders.end()) {
        slot = std::min_element(
            holders.begin(), holders.end(), [](const PrefixHolder &left, const PrefixHolder &right) { return left.validUntil < right.validUntil; });
    }
    *slot = holder;
}

void PrefixTable::removeHolder(PrefixKey key, BackendServerId id)
{
    if (PrefixRecord *record = findRecord(key)) {
        std::replace_if(
            record->holders.begin(), record->holders.end(), [id](const PrefixHolder &entry) { return entry.id == id; }, PrefixHolder{});
    }
}

void PrefixTable::setHomeCount(PrefixKey key, std::uint32_t homeCount, Core::TimePoint validUntil)
{
    if (PrefixRecord *record = findRecord(key)) {
        record->homeCount = std::max<std::uint32_t>(1, homeCount);
        record->homeCountValidUntil = validUntil;
    }
}

} // namespace Verbena::Decisions
