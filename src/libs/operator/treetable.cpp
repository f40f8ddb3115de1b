#include "treetable.h"

#include <settingstree/tablerows.h>
#include <settingstree/treepath.h>

#include <memory>

namespace Verbena::Operator {

namespace {

constexpr std::size_t pageRows = 500;

// Outlives the call, since an answer may still arrive after the timeout.
template<typename Answer>
struct Pending
{
    bool isDone = false;
    Answer answer;
};

} // namespace

TreeTable::TreeTable(Store::TableService &table, Waiting waiting, std::chrono::milliseconds timeout)
    : m_table(table)
    , m_waiting(std::move(waiting))
    , m_timeout(timeout)
{
}

Core::Result<Decisions::SettingsStore> TreeTable::readTree()
{
    Decisions::SettingsStore store;
    std::size_t limit = pageRows;
    while (true) {
        const std::uint64_t since = store.cursor();
        VERBENA_TRY(rows, scan(std::string(SettingsTree::treePrefix), since, limit));
        Decisions::SettingsDelta delta = Decisions::deltaOfTablePage(since, limit, SettingsTree::settingsRowsOf(std::move(rows)));
        const bool isLast = delta.isLast();
        // If a page contains only one commit, it has to grow until it contains all of that commit.
        limit = isLast || delta.covered > since ? pageRows : limit * 2;
        store.merge(std::move(delta));
        if (isLast) {
            return store;
        }
    }
}

Core::Result<std::vector<Store::TableRow>> TreeTable::scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit)
{
    using Answer = Core::Result<std::vector<Store::TableRow>>;
    auto pending = std::make_shared<Pending<Answer>>(Pending<Answer>{false, std::vector<Store::TableRow>()});
    m_table.scan(prefix, sinceRevision, limit, deadline(), [pending](Answer answer) {
        pending->answer = std::move(answer);
        pending->isDone = true;
    });
    m_waiting.waitUntil(pending->isDone);
    return std::move(pending->answer);
}

Store::CommitAnswer TreeTable::commit(const std::vector<Store::RowWrite> &writes)
{
    auto pending = std::make_shared<Pending<Store::CommitAnswer>>();
    m_table.commit(writes, deadline(), [pending](const Store::CommitAnswer &answer) {
        pending->answer = answer;
        pending->isDone = true;
    });
    m_waiting.waitUntil(pending->isDone);
    return pending->answer;
}

Core::TimePoint TreeTable::deadline() const
{
    return m_waiting.now() + m_timeout;
}

} // namespace Verbena::Operator
