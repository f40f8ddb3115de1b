#pragma once

#include <http/messagereader.h>

#include <string_view>

namespace Verbena::Relay {

/// \brief The `Expect: 100-continue` of a caller, which holds its body back until an interim answer tells it to send it (RFC 9110, 10.1.1).
class ContinueExpectation
{
public:
    /// \brief Returns whether a caller that has sent \a head, and nothing of its body, waits for the interim answer.
    bool isPending(const Http::MessageHead &head) const;

    /// \brief Returns the interim answer; from now on nobody waits for it.
    std::string_view takeAnswer();

private:
    bool m_isSent = false;
};

} // namespace Verbena::Relay
