#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

/// \brief Why a caller's connection was closed.
enum class CloseReason {
    Answered, ///< After its last answer, which announced it.
    CallerClosed, ///< The caller closed it while nothing was due to it.
    CallerReset, ///< The caller reset it, or its host is silent.
    RequestIncomplete, ///< The caller ended its sending side within a request.
    CallerUnknown, ///< The caller ended its sending side, and nothing could be sent to it that would show whether it waits for its answer.
    AnswerUnread, ///< The caller read nothing of its answer for the idle timeout.
    AnswerBrokenOff, ///< The answer could not be completed, and the caller can tell.
    IdleTimeout,
    MemoryShortage, ///< The caller did not read while memory was used up.
    DescriptorShortage, ///< It was idle, and its descriptor was needed.
    Shutdown, ///< It was idle when this router ended.
    ProcessEnd, ///< The process ended while something was due.
    ControlsReplaced, ///< Controls that its request used were replaced.
};

/// \brief Returns the name of \a reason in logs and metrics.
std::string_view closeReasonName(CloseReason reason);

/// \brief What was due on a connection when it was closed.
enum class OpenExchange {
    None,
    Request, ///< A part of a request had been read.
    Answer, ///< A whole request had been read, and no part of its answer was written.
    Rest, ///< A part of its answer was written.
    Delivery, ///< The whole answer was written, and the caller's host had not taken all of it.
};

/// \brief Returns whether a request was left without a whole answer.
bool isUnanswered(OpenExchange exchange);

/// \brief The close of a caller's connection, with what was due on it.
struct CallerCloseReport
{
    CloseReason reason = CloseReason::CallerClosed;
    OpenExchange exchange = OpenExchange::None;
    std::string attemptId; ///< Of the request that had no whole answer; empty if there was none or it was not read.
    std::string serverId; ///< Backend server that had it; empty if there is none.
    bool isPassedOn = false; ///< Whether it had reached a backend server.
    std::chrono::milliseconds waited{0}; ///< Time since the first byte of the request; zero if nothing was due.
    std::chrono::milliseconds idle{0}; ///< Time since the last answer ended, or since the connection was opened; zero if something was due.
    std::size_t unsentBytes = 0; ///< Written bytes that the system had not accepted; they are lost.
    std::optional<std::chrono::milliseconds> halfClosedFor; ///< Time since the caller ended its sending side; nothing if it had not.
};

/// \brief Logs the close of a caller's connection and counts it in \a metrics.
void reportClose(const CallerCloseReport &report, Observe::Metrics &metrics);

} // namespace Verbena::Relay
