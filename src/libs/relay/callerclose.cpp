#include "callerclose.h"

#include "relayevents.h"

#include <observe/eventlog.h>
#include <observe/fieldvalue.h>
#include <observe/metrics.h>

namespace Verbena::Relay {

namespace {

std::string_view openExchangeName(OpenExchange exchange)
{
    switch (exchange) {
    case OpenExchange::None:
        return "none";
    case OpenExchange::Request:
        return "request";
    case OpenExchange::Answer:
        return "answer";
    case OpenExchange::Rest:
        return "rest";
    case OpenExchange::Delivery:
        return "delivery";
    }
    return "";
}

} // namespace

std::string_view closeReasonName(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Answered:
        return "answered";
    case CloseReason::CallerClosed:
        return "caller_closed";
    case CloseReason::CallerReset:
        return "caller_reset";
    case CloseReason::RequestIncomplete:
        return "request_incomplete";
    case CloseReason::CallerUnknown:
        return "caller_unknown";
    case CloseReason::AnswerUnread:
        return "answer_unread";
    case CloseReason::AnswerBrokenOff:
        return "answer_broken_off";
    case CloseReason::IdleTimeout:
        return "idle_timeout";
    case CloseReason::MemoryShortage:
        return "memory_shortage";
    case CloseReason::DescriptorShortage:
        return "descriptor_shortage";
    case CloseReason::Shutdown:
        return "shutdown";
    case CloseReason::ProcessEnd:
        return "process_end";
    case CloseReason::ControlsReplaced:
        return "controls_replaced";
    }
    return "";
}

bool isUnanswered(OpenExchange exchange)
{
    return exchange == OpenExchange::Answer || exchange == OpenExchange::Rest;
}

void reportClose(const CallerCloseReport &report, Observe::Metrics &metrics)
{
    const std::string reason(closeReasonName(report.reason));
    metrics.count("caller_connections_closed_" + reason + "_total");
    if (isUnanswered(report.exchange)) {
        metrics.count((report.isPassedOn ? "requests_unanswered_passed_on_" : "requests_unanswered_not_passed_on_") + reason + "_total");
    }
    Observe::log(callerConnectionClosed,
        {{"reason", reason},
            {"due", std::string(openExchangeName(report.exchange))},
            {"request", report.attemptId},
            {"server", report.serverId},
            {"passed_on", Observe::yesOrNo(report.isPassedOn)},
            {"waited_ms", Observe::millisecondsText(report.waited)},
            {"idle_ms", Observe::millisecondsText(report.idle)},
            {"unsent_bytes", std::to_string(report.unsentBytes)},
            {"half_closed_ms", Observe::millisecondsText(report.halfClosedFor)}});
}

} // namespace Verbena::Relay
