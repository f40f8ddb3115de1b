#pragma once

#include <decisions/control/claimregistry.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Verbena::Control {

/// \brief Claims requests that may run at most once in the platform's table by running a ClaimRegistry on an event loop.
///
/// Each granted claim must be ended by exactly one of recordOutcome(), release() and abandon().
class ClaimManager
{
public:
    using ResultCallback = std::function<void(const Decisions::ClaimResult &)>;

    /// \brief Uses \a table, which must outlive this object. \a owner and \a seed: see ClaimRegistry.
    ClaimManager(Store::TableService &table, EventLoop::Loop &loop, const Decisions::ClaimOptions &options, std::string owner, std::uint64_t seed);
    ~ClaimManager();

    /// \brief Requests a claim. \a done is called once from the loop, never from within this call.
    Decisions::ClaimId claim(const Decisions::ClaimRequest &request, ResultCallback done);

    /// \brief Returns true while a granted claim may be dispatched. Call it right before the dispatch.
    bool mayDispatch(Decisions::ClaimId id) const;

    void recordOutcome(Decisions::ClaimId id, const Decisions::ClaimOutcome &outcome);
    void release(Decisions::ClaimId id);
    void abandon(Decisions::ClaimId id);

private:
    Decisions::ClockReading reading() const;
    void run();
    void execute(const Decisions::ClaimAction &action);

    Store::TableService &m_table;
    EventLoop::Loop &m_loop;
    Decisions::ClaimRegistry m_registry;
    std::unordered_map<Decisions::ClaimId, ResultCallback> m_callbacks;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_run;
    std::shared_ptr<bool> m_alive;
};

} // namespace Verbena::Control
