#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace Verbena::Http {

/// \brief Returns \a text without spaces and tabs at both ends.
inline std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// \brief Calls \a visit with each item, without spaces around it, of a list separated by commas; an empty item at the end is not visited.
template<typename Visit>
void forEachItem(std::string_view list, const Visit &visit)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        visit(trimmed(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

/// \brief Returns the number that is the whole of \a text; nothing if it is none.
template<typename Number>
std::optional<Number> numberOf(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/// \brief Returns the finite number of 0 or more that \a text holds; nothing if it holds none.
inline std::optional<double> nonNegativeNumberOf(std::string_view text)
{
    const std::optional<double> rate = numberOf<double>(trimmed(text));
    return rate.has_value() && std::isfinite(*rate) && *rate >= 0 ? rate : std::nullopt;
}

} // namespace Verbena::Http
