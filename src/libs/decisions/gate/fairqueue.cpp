#include "fairqueue.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::size_t idleCleanupThreshold = 4096; // Number of nodes above which idle ones are removed.
constexpr double minimumWeight = 1e-6;
constexpr std::size_t levelCount = 3; // Levels: organisation, team, class.

double seconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::chrono::microseconds microseconds(double secondsCount)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(secondsCount));
}

} // namespace

struct FairQueue::Node
{
    struct Earlier
    {
        bool operator()(const Node *left, const Node *right) const
        {
            return left->startTag != right->startTag ? left->startTag < right->startTag : left->number < right->number;
        }
    };

    Node *parent = nullptr;
    std::string name;
    std::uint64_t number = 0; ///< Order of creation among siblings; breaks ties so that the order never depends on addresses.
    double weight = 1.0;
    double startTag = 0.0; ///< Start tag in the virtual time of the parent.
    double virtualTime = 0.0; ///< Virtual time of the children.
    std::uint64_t nextNumber = 0;
    std::chrono::microseconds work{0}; ///< Sum of the work of all entries in this subtree.
    bool isActive = false;
    std::map<std::string, std::unique_ptr<Node>> children;
    std::set<Node *, Earlier> active;
    std::list<QueueEntry> entries; ///< Entries of a leaf, the oldest first.
    std::size_t overtakes = 0; ///< Number of entries that have overtaken the oldest entry of a leaf.

    bool isEmpty() const
    {
        return entries.empty() && active.empty();
    }

    double activeWeight() const
    {
        double sum = 0.0;
        for (const Node *child : active) {
            sum += child->weight;
        }
        return sum;
    }
};

FairQueue::FairQueue()
    : m_root(std::make_unique<Node>())
{
}

FairQueue::~FairQueue() = default;

FairQueue::FairQueue(FairQueue &&) noexcept = default;

FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

void FairQueue::setShares(const std::vector<FlowShare> &shares)
{
    m_organisationShares.clear();
    m_teamShares.clear();
    for (const FlowShare &share : shares) {
        m_organisationShares[share.organisation] = std::max(share.organisationShare, minimumWeight);
        m_teamShares[{share.organisation, share.team}] = std::max(share.teamShare, minimumWeight);
    }
    for (const auto &[organisation, node] : m_root->children) {
        node->weight = weightOf(*node);
        for (const auto &[team, child] : node->children) {
            child->weight = weightOf(*child);
        }
    }
}

void FairQueue::push(const FlowPath &path, const QueueEntry &entry)
{
    Node *leaf = findOrCreateLeaf(path);
    leaf->entries.push_back(entry);
    m_positions[entry.id] = Position{leaf, std::prev(leaf->entries.end())};
    for (Node *node = leaf; node != nullptr; node = node->parent) {
        node->work += entry.work;
        if (node->parent != nullptr) {
            activate(*node);
        }
    }
}

std::optional<QueueEntry> FairQueue::pop()
{
    if (m_positions.empty()) {
        return std::nullopt;
    }
    Node &leaf = nextLeaf();
    return dequeue(leaf, leaf.entries.begin());
}

std::optional<QueueEntry> FairQueue::popCheapest(const QueueEntryCosts &costs, const ReorderLimits &limits)
{
    if (m_positions.empty()) {
        return std::nullopt;
    }
    Node &leaf = nextLeaf();
    return dequeue(leaf, findCheapest(leaf, costs, limits));
}

bool FairQueue::erase(QueueEntryId id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return false;
    }
    const Position place = found->second;
    remove(*place.leaf, place.entry);
    return true;
}

void FairQueue::charge(const FlowPath &path, std::chrono::microseconds extra)
{
    for (Node *node = findOrCreateLeaf(path); node->parent != nullptr; node = node->parent) {
        Node &parent = *node->parent;
        if (node->isActive) {
            parent.active.erase(node);
        }
        node->startTag = std::max(node->startTag + seconds(extra) / node->weight, parent.virtualTime);
        if (node->isActive) {
            parent.active.insert(node);
        }
    }
}

// Computes bottom up how much work is served first. An entry starts when the virtual time of each level has reached its start
// tag, and the virtual time advances by the served work divided by the weight of all active flows. The work served first never
// exceeds the work that is queued.
std::chrono::microseconds FairQueue::expectedWait(const FlowPath &path) const
{
    const std::vector<const Node *> chain = findNodes(path);
    double ahead = chain.size() == levelCount + 1 ? seconds(chain.back()->work) : 0.0;
    for (std::size_t level = chain.size() - 1; level > 0; --level) {
        const Node &node = *chain[level];
        const Node &parent = *chain[level - 1];
        const double lag = std::max(0.0, node.startTag - parent.virtualTime) + ahead / node.weight;
        const double activeWeight = parent.activeWeight() + (node.isActive ? 0.0 : node.weight);
        ahead = std::min(lag * activeWeight, seconds(parent.work));
    }
    return microseconds(ahead);
}

std::optional<QueueEntryId> FairQueue::newestOfLargestFlow() const
{
    const Node *node = m_root.get();
    while (!node->active.empty()) {
        node = *std::max_element(node->active.begin(), node->active.end(), [](const Node *left, const Node *right) {
            return seconds(left->work) / left->weight < seconds(right->work) / right->weight;
        });
    }
    return node->entries.empty() ? std::nullopt : std::optional(node->entries.back().id);
}

std::size_t FairQueue::size() const
{
    return m_positions.size();
}

std::chrono::microseconds FairQueue::queuedWork() const
{
    return m_root->work;
}

std::vector<const FairQueue::Node *> FairQueue::findNodes(const FlowPath &path) const
{
    std::vector<const Node *> chain{m_root.get()};
    for (const std::string *name : {&path.organisation, &path.team, &path.requestClass}) {
        const auto found = chain.back()->children.find(*name);
        if (found == chain.back()->children.end()) {
            break;
        }
        chain.push_back(found->second.get());
    }
    return chain;
}

FairQueue::Node *FairQueue::findOrCreateLeaf(const FlowPath &path)
{
    if (m_nodeCount > idleCleanupThreshold) {
        removeIdle(*m_root);
    }
    Node &organisation = findOrCreateChild(*m_root, path.organisation);
    Node &team = findOrCreateChild(organisation, path.team);
    return &findOrCreateChild(team, path.requestClass);
}

FairQueue::Node &FairQueue::findOrCreateChild(Node &parent, const std::string &name)
{
    std::unique_ptr<Node> &child = parent.children[name];
    if (!child) {
        child = std::make_unique<Node>();
        child->parent = &parent;
        child->name = name;
        child->number = parent.nextNumber++;
        child->startTag = parent.virtualTime;
        child->weight = weightOf(*child);
        ++m_nodeCount;
    }
    return *child;
}

double FairQueue::weightOf(const Node &node) const
{
    const Node &parent = *node.parent;
    if (parent.parent == nullptr) {
        const auto found = m_organisationShares.find(node.name);
        return found == m_organisationShares.end() ? 1.0 : found->second;
    }
    if (parent.parent->parent == nullptr) {
        const auto found = m_teamShares.find({parent.name, node.name});
        return found == m_teamShares.end() ? 1.0 : found->second;
    }
    return 1.0;
}

FairQueue::Node &FairQueue::nextLeaf()
{
    Node *leaf = m_root.get();
    while (!leaf->active.empty()) {
        leaf = *leaf->active.begin();
    }
    return *leaf;
}

// Limits how many entries may overtake the oldest one, so that each entry waits for a bounded number of others.
std::list<QueueEntry>::iterator FairQueue::findCheapest(Node &leaf, const QueueEntryCosts &costs, const ReorderLimits &limits)
{
    auto best = leaf.entries.begin();
    if (leaf.overtakes >= limits.maximumOvertakes) {
        return best;
    }
    std::chrono::microseconds bestCost = costs.currentCost(best->id);
    std::size_t considered = 1;
    for (auto entry = std::next(best); entry != leaf.entries.end() && considered < limits.lookAhead; ++entry, ++considered) {
        const std::chrono::microseconds cost = costs.currentCost(entry->id);
        if (cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    return best;
}

QueueEntry FairQueue::dequeue(Node &leaf, std::list<QueueEntry>::iterator next)
{
    const QueueEntry entry = *next;
    leaf.overtakes = next == leaf.entries.begin() ? 0 : leaf.overtakes + 1;
    for (Node *node = &leaf; node->parent != nullptr; node = node->parent) {
        Node &parent = *node->parent;
        parent.virtualTime = std::max(parent.virtualTime, node->startTag);
        parent.active.erase(node);
        node->startTag += seconds(entry.work) / node->weight;
        parent.active.insert(node);
    }
    remove(leaf, next);
    return entry;
}

// A flow that was idle starts at the current virtual time: it gets its share from now on, but no credit for the past.
void FairQueue::activate(Node &node)
{
    if (node.isActive) {
        return;
    }
    Node &parent = *node.parent;
    node.startTag = std::max(node.startTag, parent.virtualTime);
    node.isActive = true;
    parent.active.insert(&node);
}

void FairQueue::remove(Node &leaf, std::list<QueueEntry>::iterator entry)
{
    const std::chrono::microseconds work = entry->work;
    m_positions.erase(entry->id);
    leaf.entries.erase(entry);
    for (Node *node = &leaf; node != nullptr; node = node->parent) {
        node->work -= work;
        if (node->isEmpty() && node->parent != nullptr) {
            node->parent->active.erase(node);
            node->isActive = false;
        }
    }
}

void FairQueue::removeIdle(Node &node)
{
    for (auto child = node.children.begin(); child != node.children.end();) {
        removeIdle(*child->second);
        if (child->second->isEmpty() && child->second->children.empty()) {
            child = node.children.erase(child);
            --m_nodeCount;
        } else {
            ++child;
        }
    }
}

} // namespace Verbena::Decisions
