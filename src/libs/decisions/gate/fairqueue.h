#pragma once

#include "gatetypes.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Identifies an entry of a FairQueue; chosen by the owner of the queue.
enum class QueueEntryId : std::uint64_t {};

/// \brief An entry of a FairQueue.
struct QueueEntry
{
    QueueEntryId id{};
    std::chrono::microseconds work{0}; ///< Estimated engine time of the entry.
};

/// \brief Interface for the current cost of queue entries.
class QueueEntryCosts
{
public:
    virtual ~QueueEntryCosts() = default;

    /// \brief Returns the engine time that the entry \a id would cost if it were started now.
    virtual std::chrono::microseconds currentCost(QueueEntryId id) const = 0;
};

/// \brief Limits for how far entries of one class may be served out of their order of arrival.
struct ReorderLimits
{
    std::size_t lookAhead = 32; ///< Number of oldest entries among which the cheapest is served first; 1 keeps the order of arrival.
    std::size_t maximumOvertakes = 16; ///< Number of entries that may overtake the oldest one.
};

/// \brief The weight of a team within its organisation, and of the organisation among all organisations.
struct FlowShare
{
    std::string organisation;
    double organisationShare = 1.0;
    std::string team;
    double teamShare = 1.0;
};

/// \brief Weighted fair queue over organisation, then team, then class, by estimated work.
///
/// Uses start-time fair queueing at each of the three levels: the unused share of a flow goes to the others at once, and the
/// flow has it again from its next entry on. Adding and removing entries takes logarithmic time in the number of flows.
class FairQueue
{
public:
    FairQueue();
    ~FairQueue();

    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /// \brief Replaces all shares by \a shares. Flows that are not listed have weight 1.
    void setShares(const std::vector<FlowShare> &shares);

    /// \brief Adds \a entry at the end of the flow \a path.
    void push(const FlowPath &path, const QueueEntry &entry);

    /// \brief Removes and returns the next entry, or nothing if the queue is empty.
    std::optional<QueueEntry> pop();

    /// \brief Like pop(), but serves the cheapest entry of the next class first, within \a limits.
    std::optional<QueueEntry> popCheapest(const QueueEntryCosts &costs, const ReorderLimits &limits);

    /// \brief Removes the entry \a id. Returns false if it is not in the queue.
    bool erase(QueueEntryId id);

    /// \brief Charges \a extra work to the flow \a path; negative if less was used than estimated.
    void charge(const FlowPath &path, std::chrono::microseconds extra);

    /// \brief Returns how long an entry of \a path would wait if it were pushed now, with all waiting flows staying backlogged.
    std::chrono::microseconds expectedWait(const FlowPath &path) const;

    /// \brief Returns the newest entry of the flow with the most queued work in proportion to its weight.
    std::optional<QueueEntryId> newestOfLargestFlow() const;

    std::size_t size() const;

    /// \brief Returns the sum of the estimated work of all entries.
    std::chrono::microseconds queuedWork() const;

private:
    struct Node;

    std::vector<const Node *> findNodes(const FlowPath &path) const;
    Node *findOrCreateLeaf(const FlowPath &path);
    Node &findOrCreateChild(Node &parent, const std::string &name);
    double weightOf(const Node &node) const;
    Node &nextLeaf();
    static std::list<QueueEntry>::iterator findCheapest(Node &leaf, const QueueEntryCosts &costs, const ReorderLimits &limits);
    QueueEntry dequeue(Node &leaf, std::list<QueueEntry>::iterator next);
    void activate(Node &node);
    void remove(Node &leaf, std::list<QueueEntry>::iterator entry);
    void removeIdle(Node &node);

    struct Position
    {
        Node *leaf = nullptr;
        std::list<QueueEntry>::iterator entry;
    };

    std::unique_ptr<Node> m_root;
    std::unordered_map<QueueEntryId, Position> m_positions;
    std::map<std::string, double> m_organisationShares;
    std::map<std::pair<std::string, std::string>, double> m_teamShares;
    std::size_t m_nodeCount = 1;
};

} // namespace Verbena::Decisions
