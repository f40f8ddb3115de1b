#pragma once

#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/relaytask.h>
#include <support/chunk.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief Returns a whole answer with a length to the request with \a head.
std::string answer(const Http::MessageHead &head, const std::string &body, const std::string &fields = "Receipt: r\r\n", const std::string &status = "200 OK");

/// \brief Returns the head of a chunked stream that answers the request with \a head.
std::string streamHead(const Http::MessageHead &head, const std::string &fields = "");

/// \brief Returns the head of an answer without a length, whose body ends with its connection.
std::string unframedHead(const Http::MessageHead &head, const std::string &version = "HTTP/1.1", const std::string &status = "200 OK");

/// \brief Returns a whole event with \a id.
std::string event(int id);

bool contains(const std::string &text, const std::string &part);

/// \brief A relay with fake backend servers of the service "s" on the test's own event loop.
///
/// Its routes are /safe/ (idempotent), /once/ (not idempotent), /stream/ and /resume/ (a resumable stream).
class RelayTest : public testing::Test
{
protected:
    /// \brief Time within which the work of a caller that has left has to end.
    static constexpr std::chrono::milliseconds leaveBound{500};

    RelayTest();

    static Relay::RelaySettings settings();

    /// \brief Returns a route with only the settings that the tests need.
    static Decisions::RelayRoute route(const std::string &prefix, Decisions::RequestKind kind, std::uint32_t attempts = 2);

    static Decisions::RelayConfiguration configuration(std::uint64_t version = 1);

    WorkerFake &addWorker(WorkerFake::Answer script);

    /// \brief Starts with one backend server.
    void start(WorkerFake::Answer script);

    /// \brief Starts with one engine that has the first version of the weights.
    void startOnOldWeights(WorkerFake::Answer script);

    /// \brief Returns a caller whose request has reached that engine, which does not answer.
    std::unique_ptr<CallerFake> waitingCaller(const std::string &path);

    /// \brief Announces the second version of the weights, which a second engine has; returns the time of the announcement.
    Core::TimePoint announceNewWeights();

    std::unique_ptr<CallerFake> caller();

    static std::string request(const std::string &path, const std::string &fields = "", const std::string &body = "");

    /// \brief Sends \a text and returns what the caller receives until \a end or the end of the connection.
    std::string call(const std::string &text, const std::string &end);

    /// \brief Runs the loop for \a span.
    void runFor(std::chrono::milliseconds span);

    /// \brief Returns the number of requests that reached the backend servers.
    std::size_t runs() const;

    /// \brief Returns the value of the metric \a name, or 0 if there is none yet.
    double metric(const std::string &name) const;

    PlainProtocol m_protocol;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<Relay::RelayTask> m_relay;
    std::vector<std::unique_ptr<WorkerFake>> m_workers;
};

} // namespace Verbena::Test
