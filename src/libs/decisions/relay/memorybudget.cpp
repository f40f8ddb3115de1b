#include "memorybudget.h"

#include <algorithm>
#include <limits>

namespace Verbena::Decisions {

namespace {

// Part of a process's memory that bytes for callers and servers may take. What the kernel holds of what was sent is in it. The rest is for the
// program, its tables, requests, the kernel's receive buffers and what the allocator keeps.
constexpr std::uint64_t budgetDivisor = 4;

// Memory is short from a half of the budget on, until three eighths.
constexpr std::uint64_t shortDivisor = 2;
constexpr std::uint64_t enoughNumerator = 3;
constexpr std::uint64_t enoughDivisor = 8;

// Part of what is left that one request's body may take while memory is short.
constexpr std::uint64_t bodyDivisor = 8;

// Requests up to this size, head and body, may take a part of the budget whatever else is held.
constexpr std::uint64_t smallRequestBytes = 16 * 1024;
constexpr std::uint64_t smallRequestsDivisor = 4;

// Part of the budget that is reserved for a body of unknown size, unless less is allowed: some of them can be read at a time, however large bodies may be.
constexpr std::uint64_t unknownBodyDivisor = 4;

// Part of what is left that may wait for one caller. n callers that do not read thus hold n / (n + 64) of the budget together: half at 64, never all.
constexpr std::uint64_t unsentDivisor = 64;

// Keeps a fast caller busy over any round trip.
constexpr std::uint64_t maximumUnsentBytes = 256 * 1024;

// A few events of a stream, without which reading would pause at each of them.
constexpr std::uint64_t minimumUnsentBytes = 4 * 1024;

// Most answers that are no streams are shorter.
constexpr std::uint64_t maximumBufferedBytes = 64 * 1024;

// Part of a process's memory that is shared by the receive buffers of the open calls and of so many calls more. n calls that begin one after the other thus
// take log(1 + n / 64) eighths of the memory together, a quarter for 400.
constexpr std::uint64_t receiveDivisor = 8;
constexpr std::uint64_t additionalCalls = 64;
constexpr std::uint64_t minimumReceiveMemory = 16 * 1024;

// Bytes that all calls together read in one turn of the event loop, so that no request waits for long behind answers without an end.
constexpr std::uint64_t turnBytes = 512 * 1024;
constexpr std::uint64_t minimumReadBytes = 1024;

// Part of what is left that an incomplete event may take. n of them thus hold n / (n + 12) of the budget together, and an event of a megabyte has room where
// little else is held.
constexpr std::uint64_t eventDivisor = 12;

// Events up to this size, as those of most streams are, may be held as long as all incomplete answers take no more than a part of the budget.
constexpr std::uint64_t shortEventBytes = 16 * 1024;
constexpr std::uint64_t incompleteAnswersDivisor = 4;

// An event that is shorter is never too much: many streams are inside an event at any moment, and none of them is to blame.
constexpr std::uint64_t minimumEventBytes = 4 * 1024;

// Time without reading after which a caller may be cut off: its process may stand still for a moment, and its answer may be the only one that there is.
constexpr std::chrono::milliseconds minimumUnreadTime{1000};

// The same where so much is held that the process may soon be killed, with all that runs on it: many round trips to any caller.
constexpr std::chrono::milliseconds minimumUnreadTimeInDanger{100};
constexpr std::uint64_t dangerNumerator = 3;
constexpr std::uint64_t dangerDivisor = 2;

} // namespace

std::string_view heldKindName(HeldKind kind)
{
    switch (kind) {
    case HeldKind::RequestHeads:
        return "request_heads";
    case HeldKind::RequestBodies:
        return "request_bodies";
    case HeldKind::PartialAnswers:
        return "partial_answers";
    case HeldKind::UnsentToCallers:
        return "unsent_to_callers";
    case HeldKind::UnsentToServers:
        return "unsent_to_servers";
    case HeldKind::InKernelForCallers:
        return "in_kernel_for_callers";
    case HeldKind::InKernelForServers:
        return "in_kernel_for_servers";
    case HeldKind::UnreadInKernel:
        return "unread_in_kernel";
    }
    return "unknown";
}

MemoryBudget::MemoryBudget(std::optional<std::uint64_t> processBytes)
{
    if (processBytes.has_value()) {
        m_limit = *processBytes / budgetDivisor;
    }
}

void MemoryBudget::change(HeldKind kind, std::uint64_t before, std::uint64_t after)
{
    std::uint64_t &held = m_held[static_cast<std::size_t>(kind)];
    held = held - before + after;
    // A receive buffer has a bound of its own, and what is in it is freed by reading, not by giving something up.
    if (kind != HeldKind::UnreadInKernel) {
        m_sum = m_sum - before + after;
        updateShortage();
    }
}

void MemoryBudget::updateShortage()
{
    if (!m_limit.has_value()) {
        return;
    }
    if (m_isShort) {
        m_isShort = m_sum > *m_limit * enoughNumerator / enoughDivisor;
    } else {
        m_isShort = m_sum > *m_limit / shortDivisor;
    }
}

std::uint64_t MemoryBudget::held(HeldKind kind) const
{
    return m_held[static_cast<std::size_t>(kind)];
}

std::uint64_t MemoryBudget::held() const
{
    return m_sum;
}

std::optional<std::uint64_t> MemoryBudget::limit() const
{
    return m_limit;
}

std::uint64_t MemoryBudget::left() const
{
    return *m_limit > m_sum ? *m_limit - m_sum : 0;
}

bool MemoryBudget::isShort() const
{
    return m_isShort;
}

bool MemoryBudget::couldBeShort(std::uint64_t bytes) const
{
    return m_limit.has_value() && (m_isShort || m_sum + bytes > *m_limit / shortDivisor);
}

bool MemoryBudget::isExceeded() const
{
    return m_limit.has_value() && m_sum > *m_limit;
}

// What is left includes what the request itself has reserved, so that a body which arrives in parts is judged like one whose length was known.
bool MemoryBudget::admitsBody(std::uint64_t bytes, std::uint64_t reserved) const
{
    if (!m_limit.has_value() || bytes <= reserved) {
        return true;
    }
    const std::uint64_t requests = held(HeldKind::RequestHeads) + held(HeldKind::RequestBodies) - reserved;
    if (isSmall(bytes) && requests + bytes <= *m_limit / smallRequestsDivisor) {
        return true;
    }
    const std::uint64_t room = left() + reserved;
    return bytes <= (m_isShort ? room / bodyDivisor : room);
}

bool MemoryBudget::isSmall(std::uint64_t bytes)
{
    return bytes <= smallRequestBytes;
}

bool MemoryBudget::canHold(std::uint64_t bytes) const
{
    return !m_limit.has_value() || bytes <= *m_limit;
}

bool MemoryBudget::hasRoom(std::uint64_t bytes, std::uint64_t reserved) const
{
    return !m_limit.has_value() || bytes <= left() + reserved;
}

std::uint64_t MemoryBudget::unknownBodyBytes(std::uint64_t limit) const
{
    return m_limit.has_value() ? std::min(limit, *m_limit / unknownBodyDivisor) : 0;
}

std::uint64_t MemoryBudget::unsentBound() const
{
    return m_limit.has_value() ? std::clamp(left() / unsentDivisor, minimumUnsentBytes, maximumUnsentBytes) : maximumUnsentBytes;
}

std::uint64_t MemoryBudget::receiveBound(std::size_t calls, std::uint64_t most) const
{
    if (!m_limit.has_value()) {
        return most;
    }
    const std::uint64_t processBytes = *m_limit * budgetDivisor;
    return std::clamp(processBytes / receiveDivisor / (additionalCalls + calls), minimumReceiveMemory, most);
}

std::uint64_t MemoryBudget::readBound(std::size_t calls) const
{
    const std::uint64_t share = turnBytes / std::max<std::size_t>(calls, 1);
    return std::min(std::max(share, minimumReadBytes), unsentBound());
}

std::uint64_t MemoryBudget::bufferBound() const
{
    return m_isShort ? std::min(unsentBound(), maximumBufferedBytes) : maximumBufferedBytes;
}

std::uint64_t MemoryBudget::eventBound(std::uint64_t taken) const
{
    if (!m_limit.has_value()) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    const bool hasPartLeft = held(HeldKind::PartialAnswers) <= *m_limit / incompleteAnswersDivisor;
    return std::max((left() + taken) / (eventDivisor + 1), hasPartLeft ? shortEventBytes : minimumEventBytes);
}

std::vector<IncompleteAnswer> MemoryBudget::answersToGiveUp(std::vector<IncompleteAnswer> answers) const
{
    std::vector<IncompleteAnswer> givenUp;
    const std::uint64_t answerBytes = held(HeldKind::PartialAnswers);
    if (!isExceeded() || answerBytes <= *m_limit / incompleteAnswersDivisor) {
        return givenUp;
    }
    const std::uint64_t excess = std::min(m_sum - *m_limit, answerBytes - *m_limit / incompleteAnswersDivisor);
    std::sort(answers.begin(), answers.end(), [](const IncompleteAnswer &left, const IncompleteAnswer &right) { return left.bytes > right.bytes; });
    std::uint64_t freed = 0;
    for (const IncompleteAnswer &answer : answers) {
        if (freed >= excess || answer.bytes == 0) {
            break;
        }
        freed += answer.bytes;
        givenUp.push_back(answer);
    }
    return givenUp;
}

std::chrono::milliseconds MemoryBudget::unreadTime(std::uint64_t held) const
{
    return held > *m_limit * dangerNumerator / dangerDivisor ? minimumUnreadTimeInDanger : minimumUnreadTime;
}

std::vector<UnreadCaller> MemoryBudget::callersToCut(std::vector<UnreadCaller> callers, Core::TimePoint now) const
{
    std::vector<UnreadCaller> cut;
    if (!isExceeded()) {
        return cut;
    }
    std::sort(callers.begin(), callers.end(), [](const UnreadCaller &left, const UnreadCaller &right) { return left.lastReadAt < right.lastReadAt; });
    std::uint64_t freed = 0;
    for (const UnreadCaller &caller : callers) {
        if (m_sum <= *m_limit + freed || now - caller.lastReadAt < unreadTime(m_sum - freed)) {
            break;
        }
        freed += caller.unsentBytes;
        cut.push_back(caller);
    }
    return cut;
}

HeldBytes::HeldBytes(MemoryBudget &budget, HeldKind kind)
    : m_budget(budget)
    , m_kind(kind)
{
}

HeldBytes::~HeldBytes()
{
    set(0);
}

void HeldBytes::set(std::uint64_t bytes)
{
    if (bytes != m_bytes) {
        m_budget.change(m_kind, m_bytes, bytes);
        m_bytes = bytes;
    }
}

std::uint64_t HeldBytes::bytes() const
{
    return m_bytes;
}

} // namespace Verbena::Decisions
