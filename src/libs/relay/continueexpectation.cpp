#include "continueexpectation.h"

namespace Verbena::Relay {

bool ContinueExpectation::isPending(const Http::MessageHead &head) const
{
    const std::string *expectation = head.field("Expect");
    return !m_isSent && head.isVersion11 && expectation != nullptr && Http::isSameFieldName(*expectation, "100-continue");
}

std::string_view ContinueExpectation::takeAnswer()
{
    m_isSent = true;
    return "HTTP/1.1 100 Continue\r\n\r\n";
}

} // namespace Verbena::Relay
