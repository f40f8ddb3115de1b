#pragma once

#include <decisions/control/backoff.h>
#include <decisions/control/storebudget.h>
#include <store/tableservice.h>

#include <functional>
#include <memory>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Control {

/// \brief The share of the table's capacity that one process may use.
struct TableBudget
{
    double readsPerSecond = 20;
    double writesPerSecond = 20;
    double burst = 20;
    std::chrono::milliseconds maximumCallDuration{2'000}; ///< Limit of the deadline of each call, from now.
    Decisions::BackoffOptions backoff;
};

/// \brief A table service that limits the calls of a process to its budget and backs off while the table fails.
///
/// A call that exceeds the budget or falls into a backoff is refused at once with ResourceExhausted or Unavailable for reads, NotSent for commits.
class BudgetedTable : public Store::TableService
{
public:
    /// \brief Wraps \a table, which must outlive this object; \a seed spreads the retries of processes that failed together.
    BudgetedTable(Store::TableService &table, EventLoop::Loop &loop, const TableBudget &budget, std::uint64_t seed);
    ~BudgetedTable() override;

    void get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done) override;
    void scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done) override;
    void commit(const std::vector<Store::RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) override;

private:
    struct Internals;

    std::shared_ptr<Internals> m_internals;
};

} // namespace Verbena::Control
