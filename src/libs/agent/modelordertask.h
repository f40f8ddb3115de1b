#pragma once

#include "backendadapter.h"

#include <control/leasemanager.h>
#include <decisions/gate/modelplan.h>
#include <eventloop/timer.h>
#include <settings/inforcesettings.h>
#include <store/hostlist.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Agent {

/// \brief Orders the engine to load the models that settings and host list assign to it, under its lease and with a permit for each load.
class ModelOrderTask
{
public:
    /// \brief \a name is the engine's name; \a table and \a backend must outlive the task.
    ModelOrderTask(EventLoop::Loop &loop, Store::TableService &table, BackendAdapter &backend, const std::string &name, std::uint64_t seed);

    void setSettings(const Settings::InForceSettings &settings);
    void setHosts(const std::vector<Store::HostEntry> &hosts);

    /// \brief Handles the models that the engine reports as loaded; an engine without reports gets no orders.
    void noteReport(const BackendReport &report);

    std::uint64_t sentCount() const;
    std::uint64_t fencedCount() const;

private:
    void setEngines();
    bool isPresent(const std::string &name) const;
    void run();
    void updateLeases();
    void send(const Decisions::EngineOrder &order);
    void receiveAnswer(const Decisions::EngineOrder &order, Decisions::OrderAnswer answer);
    void schedule();

    EventLoop::Loop &m_loop;
    BackendAdapter &m_backend;
    std::string m_name;
    Decisions::ModelPlan m_plan;
    Decisions::OrderPlan m_orders;
    Control::LeaseManager m_engineLease;
    Control::LeaseManager m_permit;
    std::vector<Settings::BackendServerSettings> m_servers;
    std::vector<Store::HostEntry> m_hosts;
    std::vector<Decisions::ModelVersion> m_held;
    bool m_hasReport = false;
    bool m_isDeclared = false; ///< Whether the settings name this engine.
    std::uint64_t m_sentCount = 0;
    std::uint64_t m_fencedCount = 0;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Agent
