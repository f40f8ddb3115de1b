#include "requeststory.h"

#include <json/jsontext.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>

namespace Verbena::Operator {

using nlohmann::json;

namespace {

// Length of the time up to the seconds in "2026-12-02T20:14:57.101Z".
constexpr std::size_t secondsLength = 19;

// Fields that have their own column in a line of the output, or repeat the event's name.
constexpr std::array<std::string_view, 8> shownElsewhere{"time", "process", "event", "text", "level", "number", "request", "server"};

// Events without a request that explain failures of requests at that time.
constexpr std::array<std::string_view, 13> explaining{"server_changed",
    "weights_named",
    "weights_ordered",
    "weights_in_place",
    "engine_silent",
    "engine_speaks",
    "configuration_taken",
    "feed_lost",
    "feed_regained",
    "cache_lost",
    "drain_begun",
    "process_started",
    "process_stopped"};

template<typename Container>
bool contains(const Container &container, std::string_view value)
{
    return std::find(container.begin(), container.end(), value) != container.end();
}

Core::Result<void> readLines(const std::string &path, const std::function<void(const LogLine &)> &take)
{
    std::ifstream file(path);
    if (!file) {
        return Core::Error{Core::ErrorCode::NotFound, "operator.log", path, "The log cannot be opened."};
    }
    std::string text;
    while (std::getline(file, text)) {
        // A log may also contain lines of a supervisor or a library.
        if (const auto line = LogLine::fromText(text)) {
            take(line.value());
        }
    }
    return Core::success();
}

} // namespace

Core::Result<LogLine> LogLine::fromText(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object() || JsonText::textOrEmpty(object, "time").size() < secondsLength) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "operator.log", "", "This is no line of a log."};
    }
    LogLine line;
    line.time = JsonText::textOrEmpty(object, "time");
    line.process = JsonText::textOrEmpty(object, "process");
    line.event = JsonText::textOrEmpty(object, "event");
    line.request = JsonText::textOrEmpty(object, "request");
    line.server = JsonText::textOrEmpty(object, "server");
    for (const auto &[name, value] : object.items()) {
        if (!contains(shownElsewhere, name)) {
            line.details += ' ' + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return line;
}

RequestStory::RequestStory(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void RequestStory::takeOwn(const LogLine &line)
{
    if (line.request != m_requestId) {
        return;
    }
    m_lines.push_back(line);
    m_first = m_first.empty() ? line.time : std::min(m_first, line.time);
    m_last = std::max(m_last, line.time);
    if (!line.server.empty()) {
        m_servers.insert(line.server);
    }
}

// The range includes whole seconds at both ends, as the clocks of different hosts differ.
bool RequestStory::isAround(const std::string &time) const
{
    const std::string second = time.substr(0, secondsLength);
    return second >= m_first.substr(0, secondsLength) && second <= m_last.substr(0, secondsLength);
}

void RequestStory::takeAround(const LogLine &line)
{
    const bool isExplaining = line.request.empty() && contains(explaining, line.event) && isAround(line.time);
    if (isExplaining && (line.server.empty() || m_servers.contains(line.server))) {
        m_lines.push_back(line);
    }
}

bool RequestStory::isKnown() const
{
    return !m_first.empty();
}

std::string RequestStory::render() const
{
    std::vector<LogLine> lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    std::string text;
    for (const LogLine &line : lines) {
        const std::string mark = line.request.empty() ? "  " : "* ";
        text += mark + line.time + ' ' + line.process + ' ' + line.event + (line.server.empty() ? "" : " server=" + line.server) + line.details + '\n';
    }
    return text;
}

Core::Result<std::string> tellRequest(const std::string &id, const std::vector<std::string> &paths)
{
    RequestStory story(id);
    for (const std::string &path : paths) {
        const auto read = readLines(path, [&story](const LogLine &line) { story.takeOwn(line); });
        if (!read) {
            return read.error();
        }
    }
    if (!story.isKnown()) {
        return Core::Error{Core::ErrorCode::NotFound, "operator.log", id, "No line of these logs is about this request."};
    }
    for (const std::string &path : paths) {
        const auto read = readLines(path, [&story](const LogLine &line) { story.takeAround(line); });
        if (!read) {
            return read.error();
        }
    }
    return story.render();
}

} // namespace Verbena::Operator
