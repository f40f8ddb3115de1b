#include "continueexpectation.h"

#include "answerhead.h"

namespace Verbena::Relay {

bool ContinueExpectation::isPending(const Http::MessageHead &head) const
{
    const std::string *expectation = head.field("Expect");
    return !m_isSent && head.isVersion11 && expectation != nullptr && Http::isSameFieldName(*expectation, "100-continue");
}

std::string_view ContinueExpectation::takeAnswer()
{
    m_isSent = true;
    return interimAnswer;
}

} // namespace Verbena::Relay
