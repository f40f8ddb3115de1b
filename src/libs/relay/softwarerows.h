#pragma once

#include "rowwriter.h"

#include <core/lifetime.h>
#include <decisions/relay/softwarerecord.h>
#include <decisions/spread/randomsource.h>
#include <store/rowsource.h>

#include <set>

namespace Verbena::Relay {

class RelayTask;

/// \brief The record of software versions in the platform's store, by which a router that has just started learns which versions there were before.
///
/// Each router reads the table once. A few of all routers write what changes.
class SoftwareRows
{
public:
    /// \brief Reads from \a source and writes to \a store; \a versions learns what was read. All must live as long as this object.
    SoftwareRows(
        EventLoop::Loop &loop, Store::RowSource &source, Store::RowStore &store, RelayTask &relay, Decisions::SoftwareVersions &versions, std::uint64_t seed);

    SoftwareRows(const SoftwareRows &) = delete;
    SoftwareRows &operator=(const SoftwareRows &) = delete;

    /// \brief Reads the table unless that has been done, and writes what has changed since. To be called several times per second once the register is known,
    /// as what is read has to be younger than that.
    void update();

private:
    void read();
    void handleRows(const Core::Result<Store::RowPage> &page);
    void writeChanges();
    std::set<Decisions::ServiceSoftware> registered() const;

    EventLoop::Loop &m_loop;
    Store::RowSource &m_source;
    RelayTask &m_relay;
    Decisions::SoftwareVersions &m_versions;
    Decisions::SoftwareRecord m_record;
    Decisions::RandomSource m_random;
    RowWriter m_writer;
    Core::TimePoint m_nextRead{};
    bool m_isReading = false;
    bool m_isRead = false;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
