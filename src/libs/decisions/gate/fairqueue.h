#pragma once

#include "gatetypes.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Names what waits in a FairQueue; chosen by the owner of the queue.
enum class QueueEntryId : std::uint64_t {};

/// \brief Something that waits for its turn.
struct QueueEntry
{
    QueueEntryId id{};
    std::chrono::microseconds work{0}; ///< Estimated engine time that it will use.
};

/// \brief Tells what tickets would cost if they were started now.
class QueueEntryCosts
{
public:
    virtual ~QueueEntryCosts() = default;
    virtual std::chrono::microseconds currentCost(QueueEntryId id) const = 0;
};

/// \brief How far the order of one class may leave the order of arrival.
struct ReorderLimits
{
    std::size_t lookAhead = 32; ///< Tickets from the oldest on, the cheapest of which goes first; 1 keeps the order of arrival.
    std::size_t maximumOvertakes = 16; ///< Tickets that may go before the oldest.
};

/// \brief The weight of a team among the teams of its organisation, and of the organisation among the organisations.
struct FlowShare
{
    std::string organisation;
    double organisationShare = 1.0;
    std::string team;
    double teamShare = 1.0;
};

/// \brief Weighted fair queue over organisation, then team, then class, by estimated work.
///
/// Start-time fair queueing at each of the three levels: what a flow does not use goes to the others at once, and comes
/// back to it with its next ticket. Each operation takes logarithmic time.
class FairQueue
{
public:
    FairQueue();
    ~FairQueue();

    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /// \brief Takes the shares in place of those before. Flows that are not named have weight 1.
    void setShares(const std::vector<FlowShare> &shares);

    void push(const FlowPath &path, const QueueEntry &entry);

    /// \brief Takes out the next ticket, or nothing if the queue is empty.
    std::optional<QueueEntry> pop();

    /// \brief The same, but in the class whose turn it is the cheapest ticket goes first, within the bounds of \a order.
    std::optional<QueueEntry> popCheapest(const QueueEntryCosts &costs, const ReorderLimits &limits);

    /// \brief Takes out \a id; false if it does not wait.
    bool erase(QueueEntryId id);

    /// \brief Charges \a extra work to a flow, negative if less was used than estimated.
    void charge(const FlowPath &path, std::chrono::microseconds extra);

    /// \brief How long a ticket of \a path would wait if pushed now, the flows that wait now going on to wait.
    std::chrono::microseconds expectedWait(const FlowPath &path) const;

    /// \brief The ticket that came last in the flow that holds the most work for its weight.
    std::optional<QueueEntryId> newestOfLargestFlow() const;

    std::size_t size() const;
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
