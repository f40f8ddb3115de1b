#pragma once

#include "completionevent.h"

#include <core/error.h>
#include <core/time.h>
#include <decisions/control/orderplan.h>
#include <decisions/gate/cacheindex.h>
#include <decisions/gate/gatetypes.h>

#include <verbena.pb.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Agent {

/// \brief The end of a run at the backend server.
struct BackendEnd
{
    enum class Kind {
        Complete, ///< The whole answer was received.
        NotSent, ///< No byte of the request reached the backend server.
        Lost, ///< The backend server died, hung or cut its answer; the request may have run.
        Rejected, ///< The backend server answered with an error status.
    };

    Kind kind = Kind::Lost;
    bool isUnframed = false; ///< Whether a complete answer may have been cut, as only the end of its connection ended it.
    int status = 0; ///< HTTP status; 0 if there was none.
    std::string contentType;
    std::string finishReason;
    std::string detail; ///< Description of an error.
    std::optional<CompletionUsage> usage;
};

/// \brief A backend server's report on itself, which may be some hundred milliseconds old.
struct BackendReport
{
    std::uint64_t incarnation = 0; ///< Increases with every start.
    Decisions::EngineLoad load;
    bool hasModels = false; ///< Whether the backend server reports its loaded models.
    std::vector<Decisions::ModelVersion> models;
    std::string role;
};

/// \brief Receives the events of a backend server.
class BackendListener
{
public:
    virtual ~BackendListener() = default;

    /// \brief Receives output of a run; \a tokens is 0 for a plain service.
    virtual void receiveOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens) = 0;

    /// \brief Handles the end of a run; no output of it follows.
    virtual void finishRun(const Decisions::RequestRef &ref, const BackendEnd &end) = 0;

    virtual void receiveReport(const BackendReport &report) = 0;
    virtual void receiveCacheEvent(const Decisions::CacheEvent &event) = 0;

    /// \brief Handles a restart: the backend server now has \a incarnation, and nothing recorded of an earlier one is valid.
    virtual void incarnationChanged(std::uint64_t incarnation) = 0;

    /// \brief Handles that the backend server has become available or unavailable; \a reason is the error in the latter case.
    virtual void availabilityChanged(bool isUp, const Core::Error &reason) = 0;
};

/// \brief Interface to one kind of backend server.
class BackendAdapter
{
public:
    using OrderCallback = std::function<void(Decisions::OrderAnswer answer)>;

    virtual ~BackendAdapter() = default;

    /// \brief Starts to monitor the backend server.
    virtual void start() = 0;

    /// \brief Sends a request to the backend server, at most once.
    virtual void startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline) = 0;

    /// \brief Cancels a run without notifying the listener.
    virtual void cancelRun(const Decisions::RequestRef &ref) = 0;

    /// \brief Ends all runs as lost because the backend server no longer answers.
    virtual void loseRuns(const std::string &detail) = 0;

    /// \brief Stops reading the output of a run until resumeRun(), which applies back-pressure to the backend server.
    virtual void pauseRun(const Decisions::RequestRef &ref) = 0;
    virtual void resumeRun(const Decisions::RequestRef &ref) = 0;

    /// \brief Sends \a order to the backend server; \a done is called with its answer.
    virtual void sendOrder(const Decisions::EngineOrder &order, OrderCallback done) = 0;

    /// \brief Returns whether the backend server runs requests of this kind.
    virtual bool isServing(verbena::wire::RunKind kind) const = 0;

    virtual bool isUp() const = 0;
};

} // namespace Verbena::Agent
