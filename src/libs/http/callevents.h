#pragma once

#include <observe/event.h>

namespace Verbena::Http {

inline constexpr Observe::Event callAnswerTooLong{
    1510, Observe::Severity::Warning, "call_answer_too_long", "The answer to a call of this process was too long, so the call was ended."};

} // namespace Verbena::Http
