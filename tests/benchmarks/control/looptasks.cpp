#include "looptasks.h"

#include "storememory.h"

#include "../slopes/measure.h"

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <settingstree/settingstask.h>
#include <store/httpplatform.h>
#include <support/childprocess.h>
#include <wire/messagesocket.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>

namespace Verbena::Bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t peersEach = 5; // That each process connects to; as many connect to it on average.
constexpr std::chrono::milliseconds changeInterval = std::chrono::milliseconds(24h) / 60'000;
constexpr std::chrono::seconds settlingTime{10};
constexpr int organisationsPerCommit = 100;

double processorSeconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

// A process: one socket that others connect to, some connections to others, and a settings task on them.
class LoopbackProcess : public SettingsTree::PeerChannel, public Wire::MessageReceiver
{
public:
    explicit LoopbackProcess(EventLoop::Loop &loop)
        : m_loop(loop)
        , m_socket(Wire::MessageSocket::bind(loop, m_context, "tcp://127.0.0.1:*", {}, *this).value())
    {
    }

    std::string endpoint() const
    {
        return m_socket->endpoint();
    }

    void connectTo(const std::string &endpoint)
    {
        const std::string id = std::to_string(m_links.size());
        m_links.push_back(std::make_unique<Link>(*this, id));
        m_links.back()->socket = Wire::MessageSocket::connect(m_loop, m_context, endpoint, {}, *m_links.back()).value();
        m_peers.push_back(id);
    }

    void start(Store::TableService &table, std::uint64_t seed)
    {
        SettingsTree::SettingsTaskOptions options;
        options.seed = seed;
        m_task = SettingsTree::SettingsTask::create(m_loop, options, table, nullptr, *this).value();
        m_task->setChangedCallback([this] { m_publications.push_back({m_task->current()->revision, m_loop.now()}); });
    }

    SettingsTree::SettingsTask &task()
    {
        return *m_task;
    }

    Core::TimePoint inForceAt(std::uint64_t revision) const
    {
        for (const Publication &publication : m_publications) {
            if (publication.revision >= revision) {
                return publication.moment;
            }
        }
        return Core::TimePoint::max();
    }

    const std::vector<std::string> &peers() const override
    {
        return m_peers;
    }

    Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) override
    {
        // Identities that ZeroMQ gives begin with a zero byte, so they differ from the numbers of links.
        return peer.front() == '\0' ? m_socket->send(peer, message) : m_links[std::stoul(peer)]->socket->send({}, message);
    }

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override
    {
        if (std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end()) {
            m_peers.push_back(peer);
        }
        m_task->receiveFromPeer(peer, message);
    }

    void receiveInvalidMessage(const std::string &) override
    {
    }

private:
    struct Publication
    {
        std::uint64_t revision;
        Core::TimePoint moment;
    };

    struct Link : public Wire::MessageReceiver
    {
        Link(LoopbackProcess &linkOwner, std::string linkId)
            : owner(linkOwner)
            , id(std::move(linkId))
        {
        }

        void receiveMessage(const std::string &, const verbena::wire::Envelope &message) override
        {
            owner.m_task->receiveFromPeer(id, message);
        }

        void receiveInvalidMessage(const std::string &) override
        {
        }

        LoopbackProcess &owner;
        std::string id;
        std::unique_ptr<Wire::MessageSocket> socket;
    };

    EventLoop::Loop &m_loop;
    Wire::MessageContext m_context; // One each, as a context takes a bounded number of sockets.
    std::unique_ptr<Wire::MessageSocket> m_socket;
    std::vector<std::unique_ptr<Link>> m_links;
    std::vector<std::string> m_peers;
    std::unique_ptr<SettingsTree::SettingsTask> m_task;
    std::vector<Publication> m_publications;
};

void runFor(EventLoop::Loop &loop, std::chrono::milliseconds span)
{
    EventLoop::Timer timer(loop, [&loop] { loop.stop(); });
    timer.startAt(loop.now() + span);
    loop.run();
}

template<typename Condition>
void runUntil(EventLoop::Loop &loop, Condition condition)
{
    while (!condition()) {
        loop.runOnce();
    }
}

std::vector<std::unique_ptr<LoopbackProcess>> startProcesses(EventLoop::Loop &loop, Store::TableService &table, int count)
{
    std::vector<std::unique_ptr<LoopbackProcess>> processes;
    processes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        processes.push_back(std::make_unique<LoopbackProcess>(loop));
    }
    Decisions::RandomSource random(7);
    for (int i = 0; i < count; ++i) {
        for (std::size_t j = 0; j < peersEach; ++j) {
            const std::size_t other = random.next() % processes.size();
            processes[static_cast<std::size_t>(i)]->connectTo(processes[other]->endpoint());
        }
        processes[static_cast<std::size_t>(i)]->start(table, random.next());
    }
    return processes;
}

SettingsTree::SettingsStatus totalOf(const std::vector<std::unique_ptr<LoopbackProcess>> &processes)
{
    SettingsTree::SettingsStatus total;
    for (const auto &process : processes) {
        const SettingsTree::SettingsStatus status = process->task().status();
        total.bytesSent += status.bytesSent;
        total.messagesSent += status.messagesSent;
        total.tableReads += status.tableReads;
    }
    return total;
}

struct Acceptance
{
    std::uint64_t revision = 0;
    Core::TimePoint moment;
};

void commit(EventLoop::Loop &loop, Store::TableService &table, const std::vector<Store::RowWrite> &writes, Acceptance &acceptance)
{
    table.commit(writes, loop.now() + 5s, [&loop, &acceptance](const Store::CommitAnswer &answer) { acceptance = {answer.revision, loop.now()}; });
}

std::vector<Store::RowWrite> organisationRows(int first, int end)
{
    std::vector<Store::RowWrite> writes;
    const std::vector<Decisions::SettingsRow> rows = treeRows(first, end);
    writes.reserve(rows.size());
    for (const Decisions::SettingsRow &row : rows) {
        writes.push_back({row.path, row.content, std::nullopt});
    }
    return writes;
}

// The tree tells processes how many share the polls of the table.
std::vector<Store::RowWrite> backendServers(int count)
{
    std::vector<Store::RowWrite> writes;
    writes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        writes.push_back({"settings/backend_servers/e" + std::to_string(i), R"({"endpoint":"tcp://127.0.0.1:1"})", std::nullopt});
    }
    return writes;
}

} // namespace

StartFigures runStart(int organisations)
{
    Test::ChildProcess standin("verbena-standin", {"platform"});
    const std::string url = "http://" + standin.waitForLine("listening http ");
    const auto loop = EventLoop::Loop::create().value();
    const auto platform = Store::HttpPlatform::create(*loop, url).value();
    LoopbackProcess holder(*loop);
    holder.start(*platform, 1);
    Acceptance last;
    for (int first = 0; first < organisations; first += organisationsPerCommit) {
        last = {};
        commit(*loop, *platform, organisationRows(first, std::min(first + organisationsPerCommit, organisations)), last);
        runUntil(*loop, [&last] { return last.revision > 0; });
    }
    runUntil(*loop, [&] { return holder.task().current()->revision >= last.revision; });
    LoopbackProcess starter(*loop);
    starter.connectTo(holder.endpoint());
    const double processorBefore = processorSeconds();
    const Core::TimePoint begin = loop->now();
    starter.start(*platform, 2);
    runUntil(*loop, [&] { return starter.task().isReady(); });
    const auto untilReady = std::chrono::duration_cast<std::chrono::microseconds>(loop->now() - begin);
    return {organisations, untilReady, processorSeconds() - processorBefore};
}

SpreadFigures runOnLoopback(int processCount, int changes)
{
    Test::ChildProcess standin("verbena-standin", {"platform"});
    const std::string url = "http://" + standin.waitForLine("listening http ");
    const auto loop = EventLoop::Loop::create().value();
    const auto platform = Store::HttpPlatform::create(*loop, url).value();
    const double heapBefore = heapBytes();
    const auto processes = startProcesses(*loop, *platform, processCount);
    Acceptance first;
    commit(*loop, *platform, backendServers(processCount), first);
    runFor(*loop, settlingTime);
    const SettingsTree::SettingsStatus before = totalOf(processes);
    const double processorBefore = processorSeconds();
    std::vector<Acceptance> acceptances(static_cast<std::size_t>(changes));
    for (int i = 0; i < changes; ++i) {
        const std::string path = "settings/organisations/organisation" + std::to_string(i);
        commit(*loop, *platform, {{path, R"({"share":1.5})", std::nullopt}}, acceptances[static_cast<std::size_t>(i)]);
        runFor(*loop, changeInterval);
    }
    const SettingsTree::SettingsStatus after = totalOf(processes);
    const double perProcessSecond = std::chrono::duration<double>(changeInterval * changes).count() * processCount;
    SpreadFigures figures;
    figures.processes = processCount;
    figures.changes = changes;
    figures.bytesPerProcessSecond = static_cast<double>(after.bytesSent - before.bytesSent) / perProcessSecond;
    figures.messagesPerProcessSecond = static_cast<double>(after.messagesSent - before.messagesSent) / perProcessSecond;
    figures.tableReadsPerSecond = static_cast<double>(after.tableReads - before.tableReads) / perProcessSecond * processCount;
    figures.processorShare = (processorSeconds() - processorBefore) / perProcessSecond;
    figures.heapBytesPerProcess = (heapBytes() - heapBefore) / processCount;
    runFor(*loop, settlingTime);
    for (const Acceptance &acceptance : acceptances) {
        for (const auto &process : processes) {
            figures.delays.push_back(std::chrono::duration_cast<std::chrono::microseconds>(process->inForceAt(acceptance.revision) - acceptance.moment));
        }
    }
    return figures;
}

} // namespace Verbena::Bench
