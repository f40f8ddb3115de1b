#include "answertext.h"

#include <xxhash.h>

#include <array>

namespace Verbena::Standin {

AnswerText::AnswerText(std::string_view prompt)
    : m_seed(XXH3_64bits(prompt.data(), prompt.size()))
{
}

std::string AnswerText::token(std::uint32_t index) const
{
    constexpr std::array<const char *, 16> syllables{"ba", "co", "di", "fu", "ga", "he", "jo", "ki", "la", "me", "no", "pu", "ra", "se", "ti", "vo"};
    constexpr int syllableBits = 4;
    constexpr int syllableCount = 4;
    std::uint64_t bits = XXH3_64bits_withSeed(&index, sizeof index, m_seed);
    std::string text;
    for (int i = 0; i < syllableCount; ++i) {
        text += syllables[bits % syllables.size()];
        bits >>= syllableBits;
    }
    return text + " ";
}

std::string AnswerText::firstTokens(std::uint32_t count) const
{
    std::string text;
    for (std::uint32_t i = 0; i < count; ++i) {
        text += token(i);
    }
    return text;
}

} // namespace Verbena::Standin
