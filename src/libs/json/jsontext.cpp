#include "jsontext.h"

#include <algorithm>
#include <limits>
#include <string>

namespace Verbena::JsonText {

using nlohmann::json;

namespace {

Core::Error invalid(const char *step, const std::string &message)
{
    return {Core::ErrorCode::InvalidArgument, step, "", message};
}

const json *numberOf(const json &object, const char *key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? &*found : nullptr;
}

// Calls \a visit with each letter of \a text outside of strings, until it returns false.
template<typename Visitor>
void visitOutsideStrings(std::string_view text, Visitor visit)
{
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (isInString) {
            i += letter == '\\' ? 1 : 0;
            isInString = letter != '"';
            continue;
        }
        isInString = letter == '"';
        if (!visit(letter)) {
            return;
        }
    }
}

} // namespace

bool isNestedTooDeep(std::string_view text)
{
    int depth = 0;
    visitOutsideStrings(text, [&depth](char letter) {
        depth += letter == '[' || letter == '{' ? 1 : 0;
        depth -= letter == ']' || letter == '}' ? 1 : 0;
        return depth <= maximumDepth;
    });
    return depth > maximumDepth;
}

bool hasTooManyValues(std::string_view text)
{
    if (text.size() <= maximumContainers) {
        return false;
    }
    std::size_t containers = 0;
    std::size_t separators = 0;
    const auto isExceeded = [&containers, &separators] {
        return containers > maximumContainers || containers + separators > maximumValues;
    };
    visitOutsideStrings(text, [&](char letter) {
        containers += letter == '[' || letter == '{' ? 1 : 0;
        separators += letter == ',' ? 1 : 0;
        return !isExceeded();
    });
    return isExceeded();
}

// The library copies, compares and writes nested values by recursion, which a deep one would let overflow the stack.
Core::Result<json> parse(std::string_view text, const char *step)
{
    if (isNestedTooDeep(text)) {
        return invalid(step, "The text is nested too deep.");
    }
    if (hasTooManyValues(text)) {
        return invalid(step, "The text has too many values.");
    }
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return invalid(step, "The text is no JSON.");
    }
    return value;
}

// The library would convert a negative or fractional number, and one beyond the type, without an error.
Core::Result<std::uint64_t> wholeNumber(const json &object, const char *key)
{
    const json *number = numberOf(object, key);
    if (number == nullptr) {
        return invalid("json.number", std::string(key) + " is no whole number.");
    }
    return number->get<std::uint64_t>();
}

std::uint64_t wholeNumberOr(const json &object, const char *key, std::uint64_t otherwise)
{
    const json *number = numberOf(object, key);
    return number == nullptr ? otherwise : number->get<std::uint64_t>();
}

std::string textOrEmpty(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t wholeNumber32(const json &object, const char *key)
{
    const json *number = numberOf(object, key);
    return number == nullptr ? 0 : toWholeNumber32(*number);
}

std::uint32_t toWholeNumber32(const json &value)
{
    const std::uint64_t number = value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace Verbena::JsonText
