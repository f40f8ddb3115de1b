#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/control/orderplan.h>
#include <decisions/relay/serverregister.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Verbena::Weights {

/// \brief What an engine says of itself when it is asked.
struct EngineReport
{
    std::uint64_t incarnation = 0; ///< Tells one start of it from another; 0 if it does not say.
    std::vector<Decisions::ServedWeights> weights;
    bool isCarryingOutOrder = false;
    std::uint64_t acceptedOrders = 0; ///< Since its start.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0; ///< Of its memory, those that cannot make room.
    std::uint64_t totalTokens = 0;
};

/// \brief What becomes of what an engine runs when it gets new weights.
enum class RunsOrder {
    Finish, ///< They finish first; the engine takes nothing new meanwhile.
    GoOn, ///< They go on under the new weights.
};

/// \brief An order to run a version of a model's weights.
struct WeightsOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder; ///< Who gives the order.
    std::uint64_t fence = 0; ///< Engines that check it refuse a lower one than they have seen.
    std::uint64_t expectedOrders = 0; ///< The order is void if the engine has accepted others since.
    RunsOrder runs = RunsOrder::Finish;
};

/// \brief The way to the engine beside this process.
class EngineControl
{
public:
    using ReportCallback = std::function<void(Core::Result<EngineReport>)>;
    using OrderCallback = std::function<void(Decisions::OrderAnswer)>;

    virtual ~EngineControl() = default;

    /// \brief Asks the engine how it is.
    virtual void readReport(Core::TimePoint deadline, ReportCallback done) = 0;

    /// \brief Gives an order.
    virtual void orderWeights(const WeightsOrder &order, Core::TimePoint deadline, OrderCallback done) = 0;
};

/// \brief The ways to all engines, from a process that stands beside none of them.
class EngineControls
{
public:
    virtual ~EngineControls() = default;

    /// \brief The way to the engine at \a address; stays as long as this does.
    virtual EngineControl &control(const std::string &address) = 0;
};

} // namespace Verbena::Weights
