#include "requestreport.h"

#include "relayevents.h"

#include <decisions/relay/crashsubject.h>
#include <observe/eventlog.h>
#include <observe/fieldvalue.h>

#include <algorithm>

namespace Verbena::Relay {

using Decisions::FleetChoice;
using Observe::millisecondsText;
using Observe::yesOrNo;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

template<typename Value>
std::string text(const std::optional<Value> &value)
{
    if (!value.has_value()) {
        return "";
    }
    if constexpr (std::is_arithmetic_v<Value>) {
        return std::to_string(*value);
    } else {
        return millisecondsText(duration_cast<milliseconds>(*value));
    }
}

// With ids of the usual length, so many fit into a short line.
constexpr std::size_t maximumLoggedParts = 8;
constexpr std::size_t maximumLoggedIdBytes = 32;

std::string_view waitingForName(WaitingFor waitingFor)
{
    switch (waitingFor) {
    case WaitingFor::Server:
        return "server";
    case WaitingFor::Acknowledgement:
        return "acknowledgement";
    case WaitingFor::SilentEngine:
        return "silent_engine";
    case WaitingFor::Begin:
        return "begin";
    case WaitingFor::Rest:
        return "rest";
    }
    return "unknown";
}

// A request without a target, or without a report on its engine, may wait for any time.
std::string acceptableWaitText(const Decisions::FleetChoice &choice)
{
    const bool isLimited = choice.expectedWait.has_value() && choice.acceptableWait != std::chrono::microseconds::max();
    return isLimited ? millisecondsText(duration_cast<milliseconds>(choice.acceptableWait)) : "";
}

} // namespace

std::string sharedPartsText(const Decisions::PromptOutline *prompt)
{
    std::string text;
    const std::vector<Decisions::PromptPart> parts = Decisions::sharedParts(prompt);
    for (std::size_t index = 0; index < std::min(parts.size(), maximumLoggedParts); ++index) {
        text += index == 0 ? "" : ",";
        text += parts[index].id.substr(0, maximumLoggedIdBytes);
    }
    return text;
}

void reportFailure(const RequestLabel &label, const FailureReport &report)
{
    Observe::log(callFailedEvent,
        {{"request", label.attemptId},
            {"server", label.serverId},
            {"failure", std::string(callFailureName(report.failure))},
            {"reason", std::string(report.reason)},
            {"sends", std::to_string(report.attempts.sends)},
            {"runs", std::to_string(report.attempts.runs)},
            {"arrivals", std::to_string(report.arrivals)},
            {"service", label.service},
            {"identity", report.identity},
            {"parts", report.parts},
            {"resends_left", std::to_string(static_cast<int>(report.balance.available))},
            {"routers", std::to_string(report.balance.routerCount)},
            {"framing", std::string(bodyFramingName(report.ending.framing))},
            {"inside_event", yesOrNo(report.ending.isInsideEvent)},
            {"event_received", yesOrNo(report.ending.hasEvent)},
            {"after_ms", millisecondsText(label.after)},
            {"action", std::string(attemptActionName(report.action))}});
}

void reportBarred(const RequestLabel &label, const BarredReport &report)
{
    Observe::log(requestBarred,
        {{"request", label.attemptId},
            {"identity", report.identity},
            {"part", report.part.substr(0, maximumLoggedIdBytes)},
            {"crashes", std::to_string(report.crashes)},
            {"organisation", report.organisation},
            {"service", label.service},
            {"outcome", std::string(report.outcome)},
            {"arrivals", std::to_string(report.arrivals)}});
}

void reportReplaced(const RequestLabel &label, const std::string &by)
{
    Observe::log(serverChanged, {{"server", label.serverId}, {"change", "replaced"}, {"by", by}, {"request", label.attemptId}});
}

void reportLeaving(const RequestLabel &label)
{
    Observe::log(serverLeaving, {{"server", label.serverId}, {"service", label.service}, {"request", label.attemptId}});
}

void reportRest(const RequestLabel &label, milliseconds rest)
{
    Observe::log(restAsked, {{"server", label.serverId}, {"service", label.service}, {"request", label.attemptId}, {"rest_ms", millisecondsText(rest)}});
}

void reportLimit(const std::string &serverId, const std::optional<double> &limit, const std::string &toldBy)
{
    Observe::log(limitChanged, {{"server", serverId}, {"limit", text(limit)}, {"told_by", toldBy}});
}

void reportMove(const RequestLabel &label, const std::string &to, std::uint64_t lastId)
{
    Observe::log(streamMoved,
        {{"request", label.attemptId},
            {"server", label.serverId},
            {"service", label.service},
            {"to", to},
            {"after_event", std::to_string(lastId)},
            {"after_ms", millisecondsText(label.after)}});
}

void reportLeft(const RequestLabel &label, const WaitReport &report, Observe::Metrics &metrics)
{
    const std::string waitingFor(waitingForName(report.waitingFor));
    metrics.count("requests_left_total");
    metrics.count("requests_left_waiting_for_" + waitingFor + "_total");
    Observe::log(callerLeft,
        {{"request", label.attemptId},
            {"server", label.serverId},
            {"begun", yesOrNo(report.isBegun)},
            {"waiting_for", waitingFor},
            {"sends", std::to_string(report.sends)},
            {"sent_ago_ms", millisecondsText(report.sentAgo)},
            {"news_ms", millisecondsText(report.reportAge)},
            {"after_ms", millisecondsText(label.after)}});
}

void reportFailover(const RequestLabel &label, const std::string &to, const WaitReport &report)
{
    Observe::log(requestFailedOver,
        {{"request", label.attemptId},
            {"server", label.serverId},
            {"service", label.service},
            {"to", to},
            {"begun", yesOrNo(report.isBegun)},
            {"sends", std::to_string(report.sends)},
            {"sent_ago_ms", millisecondsText(report.sentAgo)},
            {"news_ms", millisecondsText(report.reportAge)},
            {"after_ms", millisecondsText(label.after)}});
}

void reportEnd(const RequestReport &report, Observe::Metrics &metrics)
{
    metrics.count("requests_" + std::to_string(report.status) + "_total");
    metrics.recordDuration("request_seconds", report.label, report.total);
    if (report.firstPartAfter.count() >= 0) {
        metrics.recordDuration("first_part_seconds", report.label, report.firstPartAfter);
    }
    const bool isChosen = report.choice != nullptr;
    static const FleetChoice none;
    const FleetChoice &choice = isChosen ? *report.choice : none;
    Observe::log(requestEnded,
        {{"request", report.attemptId},
            {"status", std::to_string(report.status)},
            {"outcome", std::string(report.outcome)},
            {"route", report.label.requestClass},
            {"organisation", report.label.organisation},
            {"service", report.service},
            {"server", choice.serverId},
            {"software", choice.softwareVersion},
            {"resumes", report.resumedAttemptId},
            {"weights", text(choice.weightsVersion)},
            {"outdated_ms", text(choice.outdatedFor)},
            {"warm", isChosen ? std::to_string(choice.warmParts) + "/" + std::to_string(choice.parts.size()) : ""},
            {"stored", isChosen ? std::to_string(choice.storedParts) : ""},
            {"waiting", isChosen ? std::to_string(choice.waiting) : ""},
            {"expected_wait_ms", text(choice.expectedWait)},
            {"acceptable_wait_ms", acceptableWaitText(choice)},
            {"news_ms", text(choice.reportAge)},
            {"slowness", text(choice.slowness)},
            {"late_fraction", isChosen && choice.slowness.has_value() ? text(std::optional(choice.lateFraction)) : ""},
            {"limit", text(choice.limit)},
            {"limited_servers", isChosen ? std::to_string(choice.limitedServers) : ""},
            {"sends", std::to_string(report.sends)},
            {"sent_ms", report.sends > 0 ? millisecondsText(duration_cast<milliseconds>(choice.sentAt - report.arrival)) : ""},
            {"first_ms", millisecondsText(report.firstPartAfter)},
            {"longest_gap_ms", millisecondsText(report.longestGap)},
            {"total_ms", millisecondsText(report.total)},
            {"framing", std::string(bodyFramingName(report.ending.framing))},
            {"inside_event", yesOrNo(report.ending.isInsideEvent)},
            {"configuration", report.configuration > 0 ? std::to_string(report.configuration) : ""},
            {"configuration_age_ms", millisecondsText(report.configurationAge)}});
}

} // namespace Verbena::Relay
