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

/// \brief What a caller says of the prompt of a completion.
struct PromptOutline
{
    std::string model;
    std::vector<PromptPart> parts; ///< In order; the last one belongs to this request or its session.
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
};

} // namespace Verbena::Decisions
