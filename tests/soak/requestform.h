#pragma once

#include <decisions/spread/randomsource.h>

#include <chrono>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief How a caller writes a proper request.
enum class RequestForm {
    Plain,
    Absolute, ///< With scheme and host in the target.
    AfterEmptyLine,
    Expecting, ///< With a body that is held back until it is asked for.
    FarDeadline, ///< With a deadline that no clock reaches.
    HalfClosed, ///< With the end of the caller's sending side right behind it.
};

/// \brief The parts of a request.
struct RequestParts
{
    std::string path;
    std::string id;
    std::string promptFields; ///< Whole lines; empty for a request without a prompt.
    std::chrono::milliseconds deadline{0};
    std::string body;
};

/// \brief Returns a form; most are plain.
RequestForm drawForm(Decisions::RandomSource &random);

/// \brief Returns the lines of a request with a prompt that consists of \a parts.
std::string promptFields(const std::string &parts);

/// \brief Returns the request without its body.
std::string headText(const RequestParts &parts, RequestForm form);

} // namespace Verbena::Soak
