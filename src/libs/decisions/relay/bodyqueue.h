#pragma once

#include "memorybudget.h"

#include <core/time.h>

#include <cstdint>
#include <list>
#include <optional>

namespace Verbena::Decisions {

/// \brief The memory that a request takes until its end.
struct RequestDemand
{
    std::uint64_t bytes = 0; ///< Of its head and of its whole body.
    std::uint64_t reserved = 0; ///< How many of them are counted already.
    bool isBegun = false; ///< Whether the request was let in before and turns out to take more; it does not wait, as others may wait for what it holds.
};

/// \brief Returns until when a request that came at \a now may wait to be read, if its caller waits until \a deadline for the answer.
///
/// Callers give up a router that has read nothing for a third of their time, and after a second if the request may be repeated (\a isRepeatable).
Core::TimePoint latestBodyStart(Core::TimePoint now, Core::TimePoint deadline, bool isRepeatable);

/// \brief Decides which of the requests that wait for memory are read next: in order of their arrival, while small ones pass all that wait.
class BodyQueue
{
public:
    /// \brief \a budget must live as long as this object.
    explicit BodyQueue(const MemoryBudget &budget);

    /// \brief Returns whether a request with \a demand may be read on at once.
    bool admits(const RequestDemand &demand) const;

    /// \brief Returns whether a request with \a demand may wait: it has not begun, it will fit in the end, and there is room for the \a waiting bytes that it
    /// holds until then.
    bool mayWait(const RequestDemand &demand, std::uint64_t waiting) const;

    /// \brief Adds a request with \a demand as the last one; returns its number.
    std::uint64_t add(const RequestDemand &demand);

    /// \brief Removes the request with \a number, if it waits.
    void remove(std::uint64_t number);

    /// \brief Returns the number of the first request, if there is room for it.
    std::optional<std::uint64_t> next() const;

    /// \brief Returns the number of requests that wait.
    std::size_t size() const;

private:
    struct WaitingRequest
    {
        std::uint64_t number = 0;
        RequestDemand demand;
    };

    const MemoryBudget &m_budget;
    std::list<WaitingRequest> m_waiting;
    std::uint64_t m_lastNumber = 0;
};

} // namespace Verbena::Decisions
