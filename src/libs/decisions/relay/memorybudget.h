#pragma once

#include <core/time.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a router holds bytes for.
enum class HeldKind {
    RequestHeads, ///< Heads of requests, until their end.
    RequestBodies, ///< Bodies of requests, until their end.
    PartialAnswers, ///< Answers and events that are forwarded only when they are complete.
    UnsentToCallers,
    UnsentToServers,
    InKernelForCallers, ///< Sent, and not taken by the caller's host.
    InKernelForServers, ///< Sent, and not taken by the server's host.
    UnreadInKernel, ///< Received on the connections of a request that has no whole answer, and not read; no part of the budget.
};

inline constexpr std::array<HeldKind, 8> heldKinds{HeldKind::RequestHeads,
    HeldKind::RequestBodies,
    HeldKind::PartialAnswers,
    HeldKind::UnsentToCallers,
    HeldKind::UnsentToServers,
    HeldKind::InKernelForCallers,
    HeldKind::InKernelForServers,
    HeldKind::UnreadInKernel};

/// \brief Returns the stable name of \a kind for logs and metrics.
std::string_view heldKindName(HeldKind kind);

/// \brief A caller that has not read all of what was written for it.
struct UnreadCaller
{
    std::size_t index = 0; ///< Number by which the owner of the connections knows it.
    std::uint64_t unsentBytes = 0; ///< Memory that is freed when it is cut off.
    Core::TimePoint lastReadAt; ///< When the caller last read something, or else when the first of these bytes was written.
};

/// \brief A request whose answer has not come whole.
struct IncompleteAnswer
{
    std::size_t index = 0; ///< Number by which the owner of the requests knows it.
    std::uint64_t bytes = 0; ///< Memory that is freed when the answer is given up.
};

/// \brief Counts the bytes that a router holds for callers and backend servers, and decides what is given up when memory is short.
///
/// Every bound is a fraction of what is left, so that it tightens before memory is used up however many connections there are. In this order: reading the
/// answers of slow callers pauses, requests with large bodies are not read, callers that do not read are cut off, incomplete answers are given up. Small
/// requests and short events have parts of their own, so that slow callers alone do not close a router to them.
class MemoryBudget
{
public:
    /// \brief Creates the budget of a process that may use \a processBytes of memory; without a value only what waits for one caller is limited.
    explicit MemoryBudget(std::optional<std::uint64_t> processBytes);

    /// \brief Records that what one holder holds of \a kind has changed from \a before to \a after bytes.
    void change(HeldKind kind, std::uint64_t before, std::uint64_t after);

    /// \brief Returns the bytes held of \a kind.
    std::uint64_t held(HeldKind kind) const;

    /// \brief Returns all bytes held of the kinds that the budget is for.
    std::uint64_t held() const;

    /// \brief Returns the most bytes that may be held; empty if the sum is not limited.
    std::optional<std::uint64_t> limit() const;

    /// \brief Returns whether memory is short; ends only well below where it begins.
    bool isShort() const;

    /// \brief Returns whether more is held than may be.
    bool isExceeded() const;

    /// \brief Returns whether memory is short, or would be if \a bytes more were held.
    bool couldBeShort(std::uint64_t bytes) const;

    /// \brief Returns whether a request that takes \a bytes, \a reserved of which are counted already, may be read.
    bool admitsBody(std::uint64_t bytes, std::uint64_t reserved) const;

    /// \brief Returns whether a request that takes \a bytes is small, so that it may be read while larger ones may not.
    static bool isSmall(std::uint64_t bytes);

    /// \brief Returns whether \a bytes could be held if nothing else was.
    bool canHold(std::uint64_t bytes) const;

    /// \brief Returns whether there is room for \a bytes, \a reserved of which are counted already.
    bool hasRoom(std::uint64_t bytes, std::uint64_t reserved) const;

    /// \brief Returns the bytes that are to be reserved for a body of unknown size that is not small and has \a limit bytes at most.
    std::uint64_t unknownBodyBytes(std::uint64_t limit) const;

    /// \brief Returns how many bytes may wait to be sent to one caller before reading for it pauses.
    std::uint64_t unsentBound() const;

    /// \brief Returns the memory, \a most at most, that the kernel may take for what a call that begins beside \a calls open ones receives.
    std::uint64_t receiveBound(std::size_t calls, std::uint64_t most) const;

    /// \brief Returns how many bytes one of \a calls open calls may read at once.
    std::uint64_t readBound(std::size_t calls) const;

    /// \brief Returns how many bytes of an answer may be held until it is complete, so that its request can be sent again if it breaks off.
    std::uint64_t bufferBound() const;

    /// \brief Returns how long an incomplete event may be, for which \a taken bytes of memory are held already.
    std::uint64_t eventBound(std::uint64_t taken) const;

    /// \brief Returns which of \a answers have to be given up, those that hold most first, until no more is held than may be, or answers hold no more than the
    /// part of the budget that is theirs.
    std::vector<IncompleteAnswer> answersToGiveUp(std::vector<IncompleteAnswer> answers) const;

    /// \brief Returns which of \a callers have to be cut off at \a now, those that have not read for longest first, until no more is held than may be.
    ///
    /// What a cut frees is estimated by its unsent bytes, so that more callers may be cut off than is necessary.
    std::vector<UnreadCaller> callersToCut(std::vector<UnreadCaller> callers, Core::TimePoint now) const;

private:
    std::uint64_t left() const;
    /// \brief Returns the time without reading after which a caller may be cut off while \a held bytes are held, more than the limit.
    std::chrono::milliseconds unreadTime(std::uint64_t held) const;
    void updateShortage();

    std::optional<std::uint64_t> m_limit;
    std::array<std::uint64_t, heldKinds.size()> m_held{};
    std::uint64_t m_sum = 0;
    bool m_isShort = false;
};

/// \brief The bytes that one holder holds of one kind; they are counted until it is destroyed.
class HeldBytes
{
public:
    HeldBytes(MemoryBudget &budget, HeldKind kind);
    ~HeldBytes();

    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::uint64_t bytes);
    std::uint64_t bytes() const;

private:
    MemoryBudget &m_budget;
    HeldKind m_kind;
    std::uint64_t m_bytes = 0;
};

} // namespace Verbena::Decisions
