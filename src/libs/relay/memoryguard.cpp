#include "memoryguard.h"

#include "callerconnection.h"
#include "relayedrequest.h"
#include "relayevents.h"

#include <core/processmemory.h>
#include <observe/eventlog.h>
#include <observe/metrics.h>

#include <string>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

class BudgetMeter : public Http::ByteMeter
{
public:
    BudgetMeter(Decisions::MemoryBudget &budget, Decisions::HeldKind kind)
        : m_held(budget, kind)
    {
    }

    void setBytes(std::size_t bytes) override
    {
        m_held.set(bytes);
    }

private:
    Decisions::HeldBytes m_held;
};

} // namespace

std::unique_ptr<Http::ByteMeter> createMeter(Decisions::MemoryBudget *budget, Decisions::HeldKind kind)
{
    return budget != nullptr ? std::make_unique<BudgetMeter>(*budget, kind) : nullptr;
}

MemoryGuard::MemoryGuard(std::optional<std::uint64_t> processBytes, Observe::Metrics &metrics)
    : m_budget(processBytes)
    , m_metrics(metrics)
{
}

Decisions::MemoryBudget &MemoryGuard::budget()
{
    return m_budget;
}

void MemoryGuard::reportRefusal(std::uint64_t bytes, std::chrono::milliseconds waited)
{
    m_metrics.count("requests_refused_for_memory_total");
    Observe::log(bodyRefused,
        {{"body_bytes", std::to_string(bytes)},
            {"waited_ms", std::to_string(waited.count())},
            {"held_bytes", std::to_string(m_budget.held())},
            {"limit_bytes", std::to_string(m_budget.limit().value_or(0))}});
}

bool MemoryGuard::check()
{
    if (m_budget.held() != m_reportedBytes) {
        reportHeld();
    }
    if (m_budget.isShort() != m_isReportedShort) {
        reportShortage();
    }
    return m_budget.isExceeded();
}

void MemoryGuard::reportHeld()
{
    m_reportedBytes = m_budget.held();
    for (const Decisions::HeldKind kind : Decisions::heldKinds) {
        const auto bytes = static_cast<double>(m_budget.held(kind));
        m_metrics.setGauge("memory_held_" + std::string(Decisions::heldKindName(kind)) + "_bytes", bytes);
    }
}

void MemoryGuard::reportShortage()
{
    m_isReportedShort = m_budget.isShort();
    const auto held = [this](Decisions::HeldKind kind) {
        return std::to_string(m_budget.held(kind));
    };
    Observe::log(m_isReportedShort ? memoryShort : memoryEnough,
        {{"held_bytes", std::to_string(m_budget.held())},
            {"limit_bytes", std::to_string(m_budget.limit().value_or(0))},
            {"request_heads", held(Decisions::HeldKind::RequestHeads)},
            {"request_bodies", held(Decisions::HeldKind::RequestBodies)},
            {"partial_answers", held(Decisions::HeldKind::PartialAnswers)},
            {"unsent_to_callers", held(Decisions::HeldKind::UnsentToCallers)},
            {"unsent_to_servers", held(Decisions::HeldKind::UnsentToServers)},
            {"in_kernel_for_callers", held(Decisions::HeldKind::InKernelForCallers)},
            {"in_kernel_for_servers", held(Decisions::HeldKind::InKernelForServers)},
            {"unread_in_kernel", held(Decisions::HeldKind::UnreadInKernel)},
            {"peak_resident_bytes", std::to_string(Core::processMemory(getpid(), "VmHWM:"))}});
}

std::vector<CallerConnection *> MemoryGuard::connectionsToCut(const std::vector<CallerConnection *> &connections, Core::TimePoint now)
{
    std::vector<Decisions::UnreadCaller> unread;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        unread.push_back({index, connections[index]->heldBytes(), connections[index]->lastReadAt()});
    }
    std::vector<CallerConnection *> cut;
    for (const Decisions::UnreadCaller &caller : m_budget.callersToCut(std::move(unread), now)) {
        reportCut(caller, now);
        cut.push_back(connections[caller.index]);
    }
    return cut;
}

std::vector<RelayedRequest *> MemoryGuard::answersToGiveUp(const std::vector<RelayedRequest *> &requests)
{
    std::vector<Decisions::IncompleteAnswer> answers;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        answers.push_back({index, requests[index]->heldAnswerBytes()});
    }
    std::vector<RelayedRequest *> givenUp;
    for (const Decisions::IncompleteAnswer &answer : m_budget.answersToGiveUp(std::move(answers))) {
        reportGivenUp(*requests[answer.index], answer.bytes);
        givenUp.push_back(requests[answer.index]);
    }
    return givenUp;
}

void MemoryGuard::reportGivenUp(const RelayedRequest &request, std::uint64_t bytes) const
{
    Observe::log(answerGivenUp,
        {{"request", request.attemptId()},
            {"server", request.serverId()},
            {"answer_bytes", std::to_string(bytes)},
            {"held_bytes", std::to_string(m_budget.held())},
            {"limit_bytes", std::to_string(m_budget.limit().value_or(0))}});
}

void MemoryGuard::reportCut(const Decisions::UnreadCaller &caller, Core::TimePoint now)
{
    m_metrics.count("callers_cut_for_memory_total");
    const auto unread = std::chrono::duration_cast<std::chrono::milliseconds>(now - caller.lastReadAt);
    Observe::log(callerCut,
        {{"unsent_bytes", std::to_string(caller.unsentBytes)},
            {"unread_ms", std::to_string(unread.count())},
            {"held_bytes", std::to_string(m_budget.held())},
            {"limit_bytes", std::to_string(m_budget.limit().value_or(0))}});
}

} // namespace Verbena::Relay
