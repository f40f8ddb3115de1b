#pragma once

#include "faultyserver.h"
#include "runlist.h"

#include <eventloop/timer.h>

#include <chrono>
#include <list>
#include <memory>

namespace Verbena::Standin {

/// \brief Options of the service stand-in.
struct ServiceOptions
{
    std::uint16_t port = 0; ///< Port to listen on; 0 lets the system choose.
    std::chrono::microseconds callDuration{1000}; ///< Time from the start of a call to its answer.
    Faults faults;
};

/// \brief Simulated plain service whose calls may not be repeated. Every answer has the header `Engine-Incarnation`.
///
/// - `POST /<call>` runs the call and answers `{"call": "<call>", "answer": AnswerText(body).firstTokens(4)}`.
/// - `GET /load`: `incarnation`, `running`, `queued` (always 0). `GET /runs`: see RunList. `POST /control`: see Faults; of the crash points,
///   after_last_token and at_token both lie between the effect and the answer.
class ServiceStandin : public Http::HttpHandler
{
public:
    /// \brief Number of tokens in the answer to a call.
    static constexpr std::uint32_t answerTokens = 4;

    /// \brief Creates a service that listens on the port of \a options. Errors: Unavailable.
    static Core::Result<std::unique_ptr<ServiceStandin>> create(EventLoop::Loop &loop, const ServiceOptions &options);

    std::uint16_t port() const;
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    struct Call
    {
        RunId run;
        std::shared_ptr<Http::HttpExchange> exchange;
        Core::TimePoint endsAt;
    };

    ServiceStandin(EventLoop::Loop &loop, const ServiceOptions &options);
    void respond(Http::HttpExchange &exchange, int status, std::string body) const;
    void startCall(const std::shared_ptr<Http::HttpExchange> &exchange);
    void finishDueCalls();
    void finishCall(const Call &call);

    EventLoop::Loop &m_loop;
    ServiceOptions m_options;
    std::uint64_t m_incarnation;
    RunList m_runs;
    std::unique_ptr<FaultyServer> m_server;
    std::list<Call> m_calls;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Standin
