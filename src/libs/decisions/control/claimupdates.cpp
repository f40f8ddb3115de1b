#include "claimupdates.h"

namespace Verbena::Decisions {

void ClaimUpdates::add(Update update)
{
    m_values[update.rowKey] = update.value;
    m_waiting.push_back(std::move(update));
}

bool ClaimUpdates::isWaiting() const
{
    return !m_waiting.empty();
}

bool ClaimUpdates::contains(const std::string &rowKey) const
{
    return m_values.contains(rowKey);
}

std::optional<std::string> ClaimUpdates::valueFor(const std::string &rowKey) const
{
    const auto found = m_values.find(rowKey);
    return found == m_values.end() ? std::nullopt : found->second;
}

std::vector<Store::RowWrite> ClaimUpdates::beginCommit(std::size_t limit, Core::TimePoint now)
{
    std::vector<Store::RowWrite> writes;
    while (!m_waiting.empty() && writes.size() < limit) {
        Update update = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (update.deadline <= now) {
            m_values.erase(update.rowKey);
            continue;
        }
        writes.push_back({update.rowKey, update.value, update.expectedRevision});
        m_committing.push_back(std::move(update));
    }
    return writes;
}

void ClaimUpdates::handleCommit(const Store::CommitAnswer &answer)
{
    std::vector<Update> updates;
    updates.swap(m_committing);
    // Iterates backwards, because requeue() inserts at the front and the order has to be kept.
    for (auto update = updates.rbegin(); update != updates.rend(); ++update) {
        switch (answer.outcome) {
        case Store::CommitOutcome::Committed:
            m_values.erase(update->rowKey);
            break;
        case Store::CommitOutcome::Conflict:
            resolveConflict(*update, findRow(answer.current, update->rowKey));
            break;
        case Store::CommitOutcome::Unknown:
        case Store::CommitOutcome::NotSent:
            // Safe to repeat: if the commit took effect after all, the next one ends in a conflict that shows the new row.
            requeue(std::move(*update));
            break;
        }
    }
}

void ClaimUpdates::requeue(Update update)
{
    m_waiting.push_front(std::move(update));
}

void ClaimUpdates::resolveConflict(Update update, const Store::TableRow *current)
{
    if (current == nullptr) {
        requeue(std::move(update));
        return;
    }
    const auto record = ClaimRecord::decode(current->value);
    const bool isOwn = !current->isDeleted && record && record.value().token == update.token;
    if (isOwn && current->value != update.value) {
        update.expectedRevision = current->revision;
        requeue(std::move(update));
        return;
    }
    // The update took effect before, or the row no longer belongs to this claim.
    m_values.erase(update.rowKey);
}

} // namespace Verbena::Decisions
