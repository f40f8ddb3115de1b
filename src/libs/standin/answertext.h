#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::Standin {

/// \brief The text that the engine stand-in generates: a function of the prompt alone, so that a checker can compute it too.
class AnswerText
{
public:
    explicit AnswerText(std::string_view prompt);

    /// \brief Token \a index of the answer, with a space at its end.
    std::string token(std::uint32_t index) const;

    /// \brief The first \a count tokens joined.
    std::string whole(std::uint32_t count) const;

private:
    std::uint64_t m_seed;
};

} // namespace Verbena::Standin
