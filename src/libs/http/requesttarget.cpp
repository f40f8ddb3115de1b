#include "requesttarget.h"

#include <algorithm>

namespace Verbena::Http {

namespace {

constexpr std::string_view scheme = "http://";

// Name or number of a host with an optional port; user information is no part of it.
bool isAuthorityCharacter(char character)
{
    constexpr std::string_view marks = "-._~%!$&'()*+,;=:[]";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || marks.find(character) != std::string_view::npos;
}

std::string pathAndQuery(std::string_view rest)
{
    return rest.empty() || rest.front() != '/' ? '/' + std::string(rest) : std::string(rest);
}

} // namespace

void useOriginForm(MessageHead &head)
{
    const auto host = std::find_if(head.fields.begin(), head.fields.end(), [](const HttpField &field) { return isSameFieldName(field.name, "Host"); });
    if (host == head.fields.end() || !isSameFieldName(std::string_view(head.target).substr(0, scheme.size()), scheme)) {
        return;
    }
    const std::string_view target = std::string_view(head.target).substr(scheme.size());
    const std::string_view authority = target.substr(0, target.find_first_of("/?#"));
    if (authority.empty() || !std::all_of(authority.begin(), authority.end(), isAuthorityCharacter)) {
        return;
    }
    host->value = authority;
    head.target = pathAndQuery(target.substr(authority.size()));
}

} // namespace Verbena::Http
