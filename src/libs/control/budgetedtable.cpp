#include "budgetedtable.h"

#include <eventloop/deferredcall.h>
#include <eventloop/loop.h>

#include <optional>

namespace Verbena::Control {

namespace {

constexpr const char *peerName = "table";

Core::Error budgetError(const char *step)
{
    return {Core::ErrorCode::ResourceExhausted, step, peerName, "The table budget of this process is used up."};
}

Core::Error backoffError(const char *step)
{
    return {Core::ErrorCode::Unavailable, step, peerName, "The table failed recently; calls are refused until the backoff ends."};
}

} // namespace

// Answers may arrive after the decorator was destroyed, so callbacks hold only a weak pointer to this.
struct BudgetedTable::Internals
{
    Internals(Store::TableService &wrapped, EventLoop::Loop &eventLoop, const TableBudget &budget, std::uint64_t seed)
        : table(wrapped)
        , loop(eventLoop)
        , maximumCallDuration(budget.maximumCallDuration)
        , reads(budget.readsPerSecond, budget.burst, eventLoop.now())
        , writes(budget.writesPerSecond, budget.burst, eventLoop.now())
        , backoff(budget.backoff, seed)
        , refuse(eventLoop, [this] { runRefusals(); })
    {
    }

    // Returns the error that prevents a call from being sent, if there is one.
    std::optional<Core::Error> admit(Decisions::StoreBudget &budget, const char *step)
    {
        const Core::TimePoint now = loop.now();
        if (now < backoff.notBefore()) {
            return backoffError(step);
        }
        return budget.tryConsume(now) ? std::nullopt : std::optional(budgetError(step));
    }

    Core::TimePoint boundedDeadline(Core::TimePoint deadline) const
    {
        return std::min(deadline, loop.now() + maximumCallDuration);
    }

    void refuseLater(std::function<void()> refusal)
    {
        refusals.push_back(std::move(refusal));
        refuse.schedule();
    }

    void runRefusals()
    {
        std::vector<std::function<void()>> due;
        due.swap(refusals);
        for (const auto &refusal : due) {
            refusal();
        }
    }

    void recordResult(bool isSuccess)
    {
        if (isSuccess) {
            backoff.recordSuccess();
        } else {
            backoff.recordFailure(loop.now());
        }
    }

    static RowsCallback wrapRowsCallback(const std::shared_ptr<Internals> &self, RowsCallback done)
    {
        return [weak = std::weak_ptr(self), done = std::move(done)](const Core::Result<std::vector<Store::TableRow>> &rows) {
            if (const auto alive = weak.lock()) {
                alive->recordResult(rows.has_value());
                done(rows);
            }
        };
    }

    Store::TableService &table;
    EventLoop::Loop &loop;
    std::chrono::milliseconds maximumCallDuration;
    Decisions::StoreBudget reads;
    Decisions::StoreBudget writes;
    Decisions::Backoff backoff;
    std::vector<std::function<void()>> refusals;
    EventLoop::DeferredCall refuse;
};

BudgetedTable::BudgetedTable(Store::TableService &table, EventLoop::Loop &loop, const TableBudget &budget, std::uint64_t seed)
    : m_internals(std::make_shared<Internals>(table, loop, budget, seed))
{
}

BudgetedTable::~BudgetedTable() = default;

void BudgetedTable::get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done)
{
    if (const auto error = m_internals->admit(m_internals->reads, "table.get")) {
        m_internals->refuseLater([done = std::move(done), error] { done(*error); });
        return;
    }
    m_internals->table.get(keys, m_internals->boundedDeadline(deadline), Internals::wrapRowsCallback(m_internals, std::move(done)));
}

void BudgetedTable::scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done)
{
    if (const auto error = m_internals->admit(m_internals->reads, "table.scan")) {
        m_internals->refuseLater([done = std::move(done), error] { done(*error); });
        return;
    }
    m_internals->table.scan(prefix, sinceRevision, limit, m_internals->boundedDeadline(deadline), Internals::wrapRowsCallback(m_internals, std::move(done)));
}

void BudgetedTable::commit(const std::vector<Store::RowWrite> &writes, Core::TimePoint deadline, CommitCallback done)
{
    if (const auto error = m_internals->admit(m_internals->writes, "table.commit")) {
        m_internals->refuseLater([done = std::move(done), detail = error->toString()] { done({Store::CommitOutcome::NotSent, 0, {}, detail}); });
        return;
    }
    auto wrapped = [weak = std::weak_ptr(m_internals), done = std::move(done)](const Store::CommitAnswer &answer) {
        if (const auto alive = weak.lock()) {
            alive->recordResult(answer.outcome == Store::CommitOutcome::Committed || answer.outcome == Store::CommitOutcome::Conflict);
            done(answer);
        }
    };
    m_internals->table.commit(writes, m_internals->boundedDeadline(deadline), std::move(wrapped));
}

} // namespace Verbena::Control
