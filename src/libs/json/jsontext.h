#pragma once

#include <core/result.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::JsonText {

// For JSON texts that other programs wrote: none of them may make this process end.

/// \brief Deepest nesting of objects and lists that parse() accepts.
inline constexpr int maximumDepth = 64;

/// \brief Most objects and lists in a text that parse() accepts. Each takes some 80 bytes, but two or three in the text.
inline constexpr std::size_t maximumContainers = 400'000;

/// \brief Most values in a text that parse() accepts. Each takes 16 bytes, but two in the text.
inline constexpr std::size_t maximumValues = 1'200'000;

/// \brief Returns whether \a text has more than maximumContainers or maximumValues, so that its values may take many times its length.
bool hasTooManyValues(std::string_view text);

/// \brief Returns whether objects and lists in \a text are nested deeper than maximumDepth.
bool isNestedTooDeep(std::string_view text);

/// \brief Parses \a text. Errors, with \a step: InvalidArgument if it is no JSON, is nested too deep or has too many values; the message holds nothing of the
/// text.
Core::Result<nlohmann::json> parse(std::string_view text, const char *step = "json.parse");

/// \brief Returns the whole number \a key of \a object. Errors: InvalidArgument if there is none, or it is negative, fractional or too large.
Core::Result<std::uint64_t> wholeNumber(const nlohmann::json &object, const char *key);

/// \brief Returns the whole number \a key of \a object, or \a otherwise if there is none.
std::uint64_t wholeNumberOr(const nlohmann::json &object, const char *key, std::uint64_t otherwise);

/// \brief Returns the text \a key of \a object, or an empty one if there is none or \a object is another value.
std::string textOrEmpty(const nlohmann::json &object, const char *key);

/// \brief Returns the whole number \a key of \a object, or 0 if there is none; at most the largest number of 32 bits.
std::uint32_t wholeNumber32(const nlohmann::json &object, const char *key);

/// \brief Returns \a value if it is a whole number, or 0; at most the largest number of 32 bits.
std::uint32_t toWholeNumber32(const nlohmann::json &value);

} // namespace Verbena::JsonText
