#pragma once

#include "outgoingmessage.h"

#include <cstddef>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace Verbena::Http {

/// \brief Bytes that were written to a connection and that the kernel has not accepted yet, in order. A large body is held where it is shared, not copied.
class OutputQueue
{
public:
    void append(std::string_view data);
    void append(const OutgoingMessage &message);

    /// \brief Returns the number of bytes that the kernel has not accepted.
    std::size_t bytes() const;

    /// \brief Returns the memory that is held, without a body that is shared.
    std::size_t heldBytes() const;

    /// \brief Offers the bytes to the kernel once, through the socket \a descriptor. Returns how many it has accepted, or -1 and errno.
    ssize_t sendTo(int descriptor);

    /// \brief Frees what the kernel has accepted. To be called after sendTo(), which leaves it.
    void release();

    /// \brief Gives back memory that is not in use.
    void shrink();

    /// \brief Drops all bytes.
    void clear();

private:
    void unshareBody();
    std::size_t bodyBytes() const;
    ssize_t offer(int descriptor) const;

    std::string m_text;
    std::size_t m_textOffset = 0; ///< Number of bytes at the start of m_text that the kernel has accepted.
    SharedBody m_body; ///< Follows m_text; null if nothing does.
    std::size_t m_bodyOffset = 0; ///< Number of bytes at the start of m_body that the kernel has accepted.
};

} // namespace Verbena::Http
