#pragma once

#include <http/messagereader.h>

#include <string_view>

namespace Verbena::Relay {

/// \brief The interim answer with which a caller that holds its body back is told to send it (RFC 9110, 10.1.1).
class BodyInvitation
{
public:
    /// \brief Returns whether a caller that has sent \a head, and nothing of its body, waits for the invitation.
    bool isAwaited(const Http::MessageHead &head) const;

    /// \brief Returns the interim answer; from now on nobody waits for it.
    std::string_view take();

private:
    bool m_isSent = false;
};

} // namespace Verbena::Relay
