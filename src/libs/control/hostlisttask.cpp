#include "hostlisttask.h"

#include <decisions/control/backoff.h>
#include <eventloop/loop.h>

namespace Verbena::Control {

namespace {

verbena::wire::Envelope toWire(const std::vector<Decisions::HostChange> &changes)
{
    verbena::wire::Envelope envelope;
    for (const Decisions::HostChange &change : changes) {
        verbena::wire::HostChange &message = *envelope.mutable_host_news()->add_changes();
        message.set_name(change.host.name);
        message.set_address(change.host.address);
        message.set_failure_domain(change.host.failureDomain);
        message.set_incarnation(change.host.incarnation);
        message.set_leaving(change.host.isLeaving);
        message.set_gone(change.isGone);
    }
    return envelope;
}

std::vector<Decisions::HostChange> fromWire(const verbena::wire::HostNews &news)
{
    std::vector<Decisions::HostChange> changes;
    for (const verbena::wire::HostChange &message : news.changes()) {
        changes.push_back({{message.name(), message.address(), message.failure_domain(), message.incarnation(), message.leaving()}, message.gone()});
    }
    return changes;
}

} // namespace

HostListTask::HostListTask(Store::HostList &platform, EventLoop::Loop &loop, SettingsTree::PeerChannel &channel, const HostListTaskOptions &options)
    : m_loop(loop)
    , m_channel(channel)
    , m_gossip(options.gossip, options.seed, loop.now())
    , m_timer(loop, [this] { advance(); })
    , m_poller(platform, loop, options.poller, options.seed + 1, [this](const auto &hosts, Core::TimePoint fetchedAt) { receiveList(hosts, fetchedAt); })
{
    const double unit = 1. / std::chrono::duration<double>(options.startSpread).count();
    m_poller.requestBy(Decisions::firstStoreReadTime(loop.now(), 1, 1, unit, options.seed + 2));
}

HostListTask::~HostListTask() = default;

void HostListTask::receiveFromPeer(const verbena::wire::Envelope &message)
{
    handleUpdate(m_gossip.applyChanges(fromWire(message.host_news()), m_loop.now()));
}

bool HostListTask::isHostMessage(const verbena::wire::Envelope &message)
{
    return message.has_host_news();
}

void HostListTask::setProcessCount(std::size_t count)
{
    m_poller.setProcessCount(count);
}

void HostListTask::setChangedCallback(std::function<void()> callback)
{
    m_changedCallback = std::move(callback);
}

std::vector<Store::HostEntry> HostListTask::hosts() const
{
    return m_gossip.hosts();
}

void HostListTask::receiveList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt)
{
    handleUpdate(m_gossip.applyList(hosts, fetchedAt, m_loop.now()));
}

void HostListTask::handleUpdate(bool isChanged)
{
    advance();
    if (isChanged && m_changedCallback) {
        m_changedCallback();
    }
}

void HostListTask::advance()
{
    const Core::TimePoint now = m_loop.now();
    for (const Decisions::SendHostChanges &message : m_gossip.advance(m_channel.peers(), now)) {
        // An unreachable peer costs one message of many; the next round chooses other peers.
        static_cast<void>(m_channel.sendToPeer(message.peer, toWire(message.changes)));
    }
    if (const auto next = m_gossip.nextDeadline(now)) {
        m_timer.startAt(*next);
    }
}

} // namespace Verbena::Control
