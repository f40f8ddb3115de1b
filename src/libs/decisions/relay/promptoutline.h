#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A part of a prompt, which other prompts may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// \brief Description of the prompt of a completion, as given by the caller.
struct PromptOutline
{
    std::string model;
    std::vector<PromptPart> parts; ///< Parts in order; the last one belongs to this request or its session.
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
};

} // namespace Verbena::Decisions
