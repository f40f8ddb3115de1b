#include "softwarerows.h"

#include "relayevents.h"
#include "relaytask.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

namespace Verbena::Relay {

using Decisions::ServiceSoftware;
using std::chrono::milliseconds;

namespace {

constexpr const char *softwareTable = "verbena_software";

// The key says everything.
constexpr const char *rowValue = "registered";

// Several times the response time of a slow store.
constexpr milliseconds readTimeout{700};

// Time after which a failed read is repeated, and the most that is added at random: all routers of a fleet may have started together.
constexpr milliseconds retryDelay{300};
constexpr milliseconds retrySpread{500};

} // namespace

SoftwareRows::SoftwareRows(
    EventLoop::Loop &loop, Store::RowSource &source, Store::RowStore &store, RelayTask &relay, Decisions::SoftwareVersions &versions, std::uint64_t seed)
    : m_loop(loop)
    , m_source(source)
    , m_relay(relay)
    , m_versions(versions)
    , m_random(seed)
    , m_writer(loop, store, softwareTable)
{
}

void SoftwareRows::update()
{
    if (m_relay.configurationVersion() == 0) {
        return;
    }
    if (m_isRead) {
        writeChanges();
    } else if (!m_isReading && m_loop.now() >= m_nextRead) {
        read();
    }
}

void SoftwareRows::read()
{
    m_isReading = true;
    const auto handle = [this](const Core::Result<Store::RowPage> &page) {
        handleRows(page);
    };
    m_source.readTable(softwareTable, m_loop.now() + readTimeout, m_lifetime.guard(handle));
}

void SoftwareRows::handleRows(const Core::Result<Store::RowPage> &page)
{
    m_isReading = false;
    if (!page) {
        m_nextRead = m_loop.now() + retryDelay + milliseconds(m_random.next() % static_cast<std::uint64_t>(retrySpread.count()));
        Observe::log(softwareUnread, page.error(), {});
        return;
    }
    std::set<ServiceSoftware> recorded;
    for (const Store::TableRow &row : page.value().rows) {
        const auto software = Decisions::decodeSoftwareRow(row.key);
        if (!software) {
            Observe::log(softwareRowRefused, software.error(), {{"row", row.key}});
        } else if (!row.isDeleted) {
            recorded.insert(software.value());
        }
    }
    m_isRead = true;
    m_versions.learn(recorded, m_loop.now());
    m_record.set(recorded, registered(), m_loop.now());
    Observe::log(softwareRead, {{"rows", std::to_string(recorded.size())}});
}

void SoftwareRows::writeChanges()
{
    const Core::TimePoint now = m_loop.now();
    for (const Decisions::SoftwareChange &change : m_record.changes(registered(), m_relay.longestStream(), now)) {
        if (!m_relay.isRandomlyChosen()) {
            continue;
        }
        const std::string key = Decisions::softwareRowKey(change.software);
        if (change.isRemoved) {
            m_writer.remove(key, now);
        } else {
            m_writer.write(key, rowValue, now);
        }
    }
}

// Only streams that may be resumed need to go on at their version.
std::set<ServiceSoftware> SoftwareRows::registered() const
{
    std::set<ServiceSoftware> all = m_versions.registered();
    std::erase_if(all, [this](const ServiceSoftware &software) { return !m_relay.hasResumableStreams(software.service); });
    return all;
}

} // namespace Verbena::Relay
