#include "requestmemory.h"

#include <http/tcpchannel.h>

#include <algorithm>

namespace Verbena::Relay {

namespace {

// Of a body that is not read on, the kernel may hold some more.
std::uint64_t waitingBodyBytes(const RequestExtent &extent)
{
    return extent.bodyCapacity + (extent.isWholeRead ? 0 : Http::receiveBufferBytes);
}

} // namespace

RequestMemory::RequestMemory(MemoryGuard &memory, BodyAdmission &bodies)
    : m_memory(memory)
    , m_bodies(bodies)
    , m_headBytes(memory.budget(), Decisions::HeldKind::RequestHeads)
    , m_bodyBytes(memory.budget(), Decisions::HeldKind::RequestBodies)
{
}

RequestMemory::~RequestMemory()
{
    release();
}

// A body is reserved whole, so that a request that is let in can be read to its end.
bool RequestMemory::tryReserve(const RequestExtent &extent)
{
    if (!m_bodies.queue().admits(demand(extent))) {
        return false;
    }
    hold(extent);
    return true;
}

bool RequestMemory::mayWait(const RequestExtent &extent) const
{
    return extent.isHeadRead && m_bodies.queue().mayWait(demand(extent), extent.headBytes + waitingBodyBytes(extent));
}

void RequestMemory::wait(const RequestExtent &extent, Core::TimePoint now, std::function<void()> admitted)
{
    m_headBytes.set(extent.headBytes);
    m_bodyBytes.set(waitingBodyBytes(extent));
    m_waitingSince = now;
    m_waitNumber = m_bodies.wait(demand(extent), std::move(admitted));
}

void RequestMemory::endWait(const RequestExtent &extent)
{
    m_waitNumber = 0;
    hold(extent);
}

bool RequestMemory::isWaiting() const
{
    return m_waitNumber != 0;
}

void RequestMemory::reportRefusal(const RequestExtent &extent, Core::TimePoint now)
{
    const auto waited = isWaiting() ? now - m_waitingSince : Core::Clock::duration::zero();
    m_memory.reportRefusal(demand(extent).bytes, std::chrono::duration_cast<std::chrono::milliseconds>(waited));
}

void RequestMemory::release()
{
    m_bodies.withdraw(m_waitNumber);
    m_waitNumber = 0;
    m_isBodyBegun = false;
    m_headBytes.set(0);
    m_bodyBytes.set(0);
    m_bodies.handleRoom();
}

// A body without a length is taken for as long as it may be once it is not small.
std::uint64_t RequestMemory::bodyDemand(const RequestExtent &extent) const
{
    const std::uint64_t held = std::max<std::uint64_t>(extent.contentLength.value_or(0), extent.bodyCapacity);
    if (!extent.isHeadRead || extent.contentLength.has_value() || extent.isWholeRead || Decisions::MemoryBudget::isSmall(held)) {
        return held;
    }
    return std::max(held, m_memory.budget().unknownBodyBytes(extent.maximumBodyBytes));
}

Decisions::RequestDemand RequestMemory::demand(const RequestExtent &extent) const
{
    return {extent.headBytes + bodyDemand(extent), m_headBytes.bytes() + m_bodyBytes.bytes(), m_isBodyBegun};
}

void RequestMemory::hold(const RequestExtent &extent)
{
    m_headBytes.set(extent.headBytes);
    m_bodyBytes.set(bodyDemand(extent));
    m_isBodyBegun = extent.isHeadRead;
}

} // namespace Verbena::Relay
