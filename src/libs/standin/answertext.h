#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::Standin {

/// \brief Text that the engine stand-in generates. It depends on the prompt only, so a checker can compute it too.
class AnswerText
{
public:
    explicit AnswerText(std::string_view prompt);

    /// \brief Returns token \a index of the answer, with a trailing space.
    std::string token(std::uint32_t index) const;

    /// \brief Returns the first \a count tokens, joined.
    std::string firstTokens(std::uint32_t count) const;

private:
    std::uint64_t m_seed;
};

} // namespace Verbena::Standin
