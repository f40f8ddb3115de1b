#pragma once

#include <core/result.h>
#include <core/time.h>
#include <decisions/control/orderplan.h>
#include <decisions/relay/serverregister.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Weights {

/// \brief The status report of an engine.
struct EngineReport
{
    std::uint64_t incarnation = 0; ///< Differs between starts of the engine; 0 if it is not reported.
    Decisions::ServedModels weights;
    bool isCarryingOutOrder = false;
    std::uint64_t acceptedOrders = 0; ///< Number of accepted orders since the start.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0; ///< Tokens in memory that cannot be evicted.
    std::uint64_t totalTokens = 0;
};

/// \brief Handling of running requests when an engine loads new weights.
enum class RunningRequests {
    Finish, ///< They finish first; the engine accepts no new ones meanwhile.
    Continue, ///< They continue with the new weights.
};

/// \brief An order to run a version of a model's weights.
struct WeightsOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder; ///< Host of the process that gives the order.
    std::uint64_t fence = 0; ///< Fencing number; engines that check it reject orders with a lower one than before.
    std::uint64_t expectedOrders = 0; ///< Number of accepted orders; the engine rejects the order if it has accepted others since.
    RunningRequests runningRequests = RunningRequests::Finish;
};

/// \brief Interface to one engine.
class EngineControl
{
public:
    using ReportCallback = std::function<void(Core::Result<EngineReport>)>;
    using PaceCallback = std::function<void(const Core::Result<std::optional<double>> &pace)>;
    using OrderCallback = std::function<void(Decisions::OrderAnswer)>;

    virtual ~EngineControl() = default;

    /// \brief Requests a status report.
    virtual void readReport(Core::TimePoint deadline, ReportCallback done) = 0;

    /// \brief Requests the pace that the engine names in its answer to GET \a path: the time that work takes now, relative to the usual. \a done gets nothing
    /// if the answer names none, and an error if there is no successful answer by \a deadline.
    virtual void readPace(const std::string &path, Core::TimePoint deadline, PaceCallback done) = 0;

    /// \brief Sends an order.
    virtual void orderWeights(const WeightsOrder &order, Core::TimePoint deadline, OrderCallback done) = 0;
};

/// \brief Interfaces to all engines, for a process on another host.
class EngineControls
{
public:
    virtual ~EngineControls() = default;

    /// \brief Returns the interface to the engine at \a address, which is valid as long as this object.
    virtual EngineControl &control(const std::string &address) = 0;
};

} // namespace Verbena::Weights
