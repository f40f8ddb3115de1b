#pragma once

#include "bodyadmission.h"
#include "memoryguard.h"

#include <core/time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Verbena::Relay {

/// \brief How much of a request has been read, and how much is to come.
struct RequestExtent
{
    std::uint64_t headBytes = 0; ///< Memory that the head takes.
    std::uint64_t bodyCapacity = 0; ///< Memory that the part of the body which has been read takes.
    std::optional<std::uint64_t> contentLength; ///< Length of the body, if the head names it.
    std::uint64_t maximumBodyBytes = 0; ///< Length that a body may have.
    bool isHeadRead = false; ///< Whether the whole head has been read.
    bool isWholeRead = false; ///< Whether head and body have been read.
};

/// \brief The memory that one request of a caller holds until its answer has ended, or waits for.
class RequestMemory
{
public:
    /// \brief \a memory and \a bodies must live as long as this object.
    RequestMemory(MemoryGuard &memory, BodyAdmission &bodies);
    ~RequestMemory();

    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    /// \brief Returns whether a request of \a extent has its memory, and reserves it if so.
    bool tryReserve(const RequestExtent &extent);

    /// \brief Returns whether a request of \a extent, which tryReserve() has not admitted, may wait.
    bool mayWait(const RequestExtent &extent) const;

    /// \brief Waits from \a now on; \a admitted is called when it is the request's turn, and then has to call endWait().
    void wait(const RequestExtent &extent, Core::TimePoint now, std::function<void()> admitted);

    /// \brief Ends the wait and reserves the memory of a request of \a extent.
    void endWait(const RequestExtent &extent);

    bool isWaiting() const;

    /// \brief Reports that the request of \a extent is refused at \a now.
    void reportRefusal(const RequestExtent &extent, Core::TimePoint now);

    /// \brief Frees the memory and ends a wait for it.
    void release();

private:
    std::uint64_t bodyDemand(const RequestExtent &extent) const;
    Decisions::RequestDemand demand(const RequestExtent &extent) const;
    void hold(const RequestExtent &extent);

    MemoryGuard &m_memory;
    BodyAdmission &m_bodies;
    Decisions::HeldBytes m_headBytes;
    Decisions::HeldBytes m_bodyBytes;
    bool m_isBodyBegun = false; ///< Whether the request was let in after its head.
    std::uint64_t m_waitNumber = 0; ///< 0 while the request does not wait.
    Core::TimePoint m_waitingSince;
};

} // namespace Verbena::Relay
