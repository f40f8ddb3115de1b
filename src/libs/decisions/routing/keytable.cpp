#include "keytable.h"

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

KeyTable::KeyTable(std::size_t size)
    : m_sets(std::max<std::size_t>(1, (size + ways - 1) / ways))
{
}

const KeyTable::Set &KeyTable::setOf(PrefixKey key) const
{
    return m_sets[static_cast<std::uint64_t>(key) % m_sets.size()];
}

const KeyRecord *KeyTable::find(PrefixKey key) const
{
    for (const KeyRecord &record : setOf(key)) {
        if (record.isUsed && record.key == key) {
            return &record;
        }
    }
    return nullptr;
}

KeyRecord *KeyTable::findRecord(PrefixKey key)
{
    return const_cast<KeyRecord *>(std::as_const(*this).find(key));
}

double KeyTable::demand(PrefixKey key, Core::TimePoint now) const
{
    const KeyRecord *record = find(key);
    return record == nullptr ? 0 : record->demand.at(now);
}

void KeyTable::noteDemand(PrefixKey key, Core::TimePoint now)
{
    KeyRecord *record = findRecord(key);
    if (record == nullptr) {
        Set &set = m_sets[static_cast<std::uint64_t>(key) % m_sets.size()];
        record = &*std::min_element(
            set.begin(), set.end(), [now](const KeyRecord &left, const KeyRecord &right) { return left.demand.at(now) < right.demand.at(now); });
        *record = KeyRecord{};
        record->key = key;
        record->isUsed = true;
    }
    record->demand.add(now);
}

void KeyTable::noteHolder(PrefixKey key, const PrefixHolder &holder)
{
    KeyRecord *record = findRecord(key);
    if (record == nullptr) {
        return;
    }
    auto &holders = record->holders;
    auto place = std::find_if(holders.begin(), holders.end(), [&holder](const PrefixHolder &known) { return known.id == holder.id; });
    if (place == holders.end()) {
        place = std::min_element(
            holders.begin(), holders.end(), [](const PrefixHolder &left, const PrefixHolder &right) { return left.deadline < right.deadline; });
    }
    *place = holder;
}

void KeyTable::forgetHolder(PrefixKey key, BackendServerId id)
{
    if (KeyRecord *record = findRecord(key)) {
        std::replace_if(
            record->holders.begin(), record->holders.end(), [id](const PrefixHolder &known) { return known.id == id; }, PrefixHolder{});
    }
}

void KeyTable::noteWidth(PrefixKey key, std::uint32_t width, Core::TimePoint deadline)
{
    if (KeyRecord *record = findRecord(key)) {
        record->width = std::max<std::uint32_t>(1, width);
        record->widthDeadline = deadline;
    }
}

} // namespace Verbena::Decisions
