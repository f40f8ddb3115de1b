#include "eventformat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace Verbena::Observe {

namespace {

bool isPlain(const std::string &value)
{
    const auto isPlainCharacter = [](unsigned char character) {
        return std::isgraph(character) != 0 && character != '"' && character != '=';
    };
    return !value.empty() && std::all_of(value.begin(), value.end(), isPlainCharacter);
}

// A value may come from a caller, so line breaks and bytes that are not valid UTF-8 must be escaped or replaced.
std::string quoted(const std::string &value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "DEBUG";
    case Severity::Info:
        return "INFO";
    case Severity::Warning:
        return "WARN";
    case Severity::Error:
        return "ERROR";
    }
    return "ERROR";
}

std::string formatText(const Event &event, const std::vector<Field> &fields)
{
    std::string line = std::to_string(event.number) + ' ' + event.name + ' ' + quoted(event.text);
    for (const Field &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += isPlain(field.value) ? field.value : quoted(field.value);
    }
    return line;
}

std::string formatJsonMembers(const std::string &process, const Event &event, const std::vector<Field> &fields)
{
    nlohmann::ordered_json object{
        {"level", severityName(event.severity)}, {"process", process}, {"number", event.number}, {"event", event.name}, {"text", event.text}};
    for (const Field &field : fields) {
        object.emplace(std::string(field.name), field.value);
    }
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
}

} // namespace Verbena::Observe
