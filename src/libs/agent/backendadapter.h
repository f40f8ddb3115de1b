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

/// \brief How a run at the backend server came to its end.
struct BackendEnd
{
    enum class Kind {
        Complete, ///< The whole answer has come.
        NotSent, ///< No byte of the request reached the backend server.
        Lost, ///< The backend server died, hung or cut its answer; the request may have run.
        Rejected, ///< The backend server answered with an error status.
    };

    Kind kind = Kind::Lost;
    bool isUnframed = false; ///< Whether a complete answer may have been cut, as only the end of its connection ended it.
    int status = 0; ///< HTTP status; 0 if there was none.
    std::string contentType;
    std::string finishReason;
    std::string detail; ///< What is known of an error.
    std::optional<CompletionUsage> usage;
};

/// \brief What a backend server says of itself, late.
struct BackendReport
{
    std::uint64_t incarnation = 0; ///< Grows with every start.
    Decisions::EngineLoad load;
    bool hasModels = false; ///< False if the backend server does not tell what it holds.
    std::vector<Decisions::ModelVersion> models;
    std::string role;
};

/// \brief Takes what happens at a backend server.
class BackendListener
{
public:
    virtual ~BackendListener() = default;

    /// \brief Output of a run; \a tokens is 0 for a plain service.
    virtual void receiveOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens) = 0;

    /// \brief The run is over; nothing follows.
    virtual void finishRun(const Decisions::RequestRef &ref, const BackendEnd &end) = 0;

    virtual void receiveReport(const BackendReport &report) = 0;
    virtual void receiveCacheEvent(const Decisions::CacheEvent &event) = 0;

    /// \brief The backend server is at \a incarnation; all that was known of an earlier one is void.
    virtual void incarnationChanged(std::uint64_t incarnation) = 0;

    /// \brief The backend server can be used, or not; \a reason says why not.
    virtual void availabilityChanged(bool isUp, const Core::Error &reason) = 0;
};

/// \brief The way to one kind of backend server.
class BackendAdapter
{
public:
    using OrderCallback = std::function<void(Decisions::OrderAnswer answer)>;

    virtual ~BackendAdapter() = default;

    /// \brief Begins to watch the backend server.
    virtual void start() = 0;

    /// \brief Hands a request to the backend server, at most once.
    virtual void startRun(const Decisions::RequestRef &ref, const verbena::wire::Dispatch &dispatch, Core::TimePoint deadline) = 0;

    /// \brief Ends a run without a word to the listener.
    virtual void cancelRun(const Decisions::RequestRef &ref) = 0;

    /// \brief Ends all runs as lost, since the backend server does not answer any more.
    virtual void loseRuns(const std::string &detail) = 0;

    /// \brief Stops taking the output of a run, so that the backend server has to wait, until resumeRun().
    virtual void pauseRun(const Decisions::RequestRef &ref) = 0;
    virtual void resumeRun(const Decisions::RequestRef &ref) = 0;

    /// \brief Writes \a order to the backend server; \a done is called with what became of it.
    virtual void sendOrder(const Decisions::EngineOrder &order, OrderCallback done) = 0;

    /// \brief True if the backend server runs requests of this kind.
    virtual bool isServing(verbena::wire::RunKind kind) const = 0;

    virtual bool isUp() const = 0;
};

} // namespace Verbena::Agent
