#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace Verbena::Http {

/// \brief The whole body of a message, shared by all who send or keep it; null for an empty one.
using SharedBody = std::shared_ptr<const std::string>;

/// \brief A message to be sent: its head, up to the empty line, and its body.
struct OutgoingMessage
{
    std::string head;
    SharedBody body;

    /// \brief Returns the size of the body.
    std::size_t bodyBytes() const
    {
        return body == nullptr ? 0 : body->size();
    }

    /// \brief Returns the size of head and body.
    std::size_t bytes() const
    {
        return head.size() + bodyBytes();
    }
};

} // namespace Verbena::Http
