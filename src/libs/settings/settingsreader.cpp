#include "settingsreader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace Verbena::Settings {

struct SettingsReader::Document
{
    std::string name;
    std::vector<SettingsProblem> problems;
    std::vector<SettingsReader> readers; ///< Every section handed out, to find keys that nobody asked for.
};

namespace {

struct SpanUnit
{
    std::string_view name;
    std::int64_t microseconds;
};

constexpr SpanUnit spanUnits[] = {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"min", 60'000'000}, {"h", 3'600'000'000}};

std::optional<std::chrono::microseconds> parseSpan(const std::string &text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc()) {
        return std::nullopt;
    }
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const SpanUnit &known : spanUnits) {
        if (unit == known.name && count <= INT64_MAX / known.microseconds && count >= INT64_MIN / known.microseconds) {
            return std::chrono::microseconds(count * known.microseconds);
        }
    }
    return std::nullopt;
}

template<typename T>
std::string rangeMessage(T minimum, T maximum)
{
    std::ostringstream text;
    text << "The value must lie between " << minimum << " and " << maximum << ".";
    return text.str();
}

} // namespace

Core::Result<SettingsReader> SettingsReader::fromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Core::Error{Core::ErrorCode::NotFound, "settings.read", path, "The settings file cannot be opened."};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return fromText(text.str(), path);
}

Core::Result<SettingsReader> SettingsReader::fromText(const std::string &text, const std::string &name)
{
    auto document = std::make_shared<Document>();
    document->name = name;
    try {
        YAML::Node root = YAML::Load(text);
        if (!root.IsMap() && !root.IsNull()) {
            return Core::Error{Core::ErrorCode::InvalidArgument, "settings.read", name + ":1", "The settings must be a mapping of keys."};
        }
        return SettingsReader(document, root, "");
    } catch (const YAML::Exception &exception) {
        const std::string place = name + ":" + std::to_string(exception.mark.line + 1);
        return Core::Error{Core::ErrorCode::InvalidArgument, "settings.read", place, "This is not valid YAML: " + exception.msg + "."};
    }
}

SettingsReader::SettingsReader(std::shared_ptr<Document> document, const YAML::Node &node, std::string prefix)
    : m_document(std::move(document))
    , m_node(node)
    , m_prefix(std::move(prefix))
    , m_knownKeys(std::make_shared<std::set<std::string>>())
{
    if (!m_prefix.empty()) {
        m_document->readers.push_back(*this);
    }
}

bool SettingsReader::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

std::vector<std::string> SettingsReader::keys() const
{
    std::vector<std::string> names;
    if (m_node.IsMap()) {
        for (const auto &entry : m_node) {
            names.push_back(entry.first.as<std::string>(""));
        }
    }
    return names;
}

YAML::Node SettingsReader::take(const std::string &key)
{
    m_knownKeys->insert(key);
    return has(key) ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
}

template<typename T>
T SettingsReader::scalar(const std::string &key, const T &defaultValue, const char *expected)
{
    const YAML::Node node = take(key);
    if (!node.IsDefined()) {
        return defaultValue;
    }
    T value{};
    if (!node.IsScalar() || !YAML::convert<T>::decode(node, value)) {
        addProblem(key, std::string("The value must be ") + expected + ".");
        return defaultValue;
    }
    return value;
}

std::string SettingsReader::requiredString(const std::string &key)
{
    if (!has(key)) {
        m_knownKeys->insert(key);
        addProblem(key, "This key is required.");
        return {};
    }
    return string(key, "");
}

std::string SettingsReader::string(const std::string &key, const std::string &defaultValue)
{
    return scalar<std::string>(key, defaultValue, "a text");
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    const auto value = scalar<std::int64_t>(key, defaultValue, "a whole number");
    if (value < minimum || value > maximum) {
        addProblem(key, rangeMessage(minimum, maximum));
        return defaultValue;
    }
    return value;
}

double SettingsReader::number(const std::string &key, double defaultValue, double minimum, double maximum)
{
    const auto value = scalar<double>(key, defaultValue, "a number");
    if (!(value >= minimum && value <= maximum)) {
        addProblem(key, rangeMessage(minimum, maximum));
        return defaultValue;
    }
    return value;
}

bool SettingsReader::boolean(const std::string &key, bool defaultValue)
{
    return scalar<bool>(key, defaultValue, "true or false");
}

std::vector<std::string> SettingsReader::strings(const std::string &key)
{
    std::vector<std::string> values;
    const YAML::Node node = take(key);
    if (!node.IsDefined()) {
        return values;
    }
    if (!node.IsSequence()) {
        addProblem(key, "The value must be a list of texts.");
        return values;
    }
    for (const YAML::Node &item : node) {
        std::string value;
        if (!item.IsScalar() || !YAML::convert<std::string>::decode(item, value)) {
            addProblem(key, "The value must be a list of texts.");
            return {};
        }
        values.push_back(value);
    }
    return values;
}

std::chrono::microseconds SettingsReader::span(
    const std::string &key, std::chrono::microseconds defaultValue, std::chrono::microseconds minimum, std::chrono::microseconds maximum)
{
    if (!has(key)) {
        m_knownKeys->insert(key);
        return defaultValue;
    }
    const auto value = parseSpan(string(key, ""));
    if (!value.has_value()) {
        addProblem(key, "The value must be a span of time such as 250ms; the units are us, ms, s, min and h.");
        return defaultValue;
    }
    if (*value < minimum || *value > maximum) {
        addProblem(key, "The span must lie between " + std::to_string(minimum.count()) + "us and " + std::to_string(maximum.count()) + "us.");
        return defaultValue;
    }
    return *value;
}

SettingsReader SettingsReader::section(const std::string &key)
{
    const YAML::Node node = take(key);
    if (node.IsDefined() && !node.IsMap() && !node.IsNull()) {
        addProblem(key, "The value must be a mapping of keys.");
    }
    const bool isMap = node.IsDefined() && node.IsMap();
    return SettingsReader(m_document, isMap ? node : YAML::Node(YAML::NodeType::Map), pathOf(key));
}

std::vector<SettingsReader> SettingsReader::sections(const std::string &key)
{
    std::vector<SettingsReader> result;
    const YAML::Node node = take(key);
    if (!node.IsDefined()) {
        return result;
    }
    if (!node.IsSequence()) {
        addProblem(key, "The value must be a list of mappings.");
        return result;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        if (!node[i].IsMap()) {
            addProblem(key, "Each item of the list must be a mapping of keys.");
            continue;
        }
        result.push_back(SettingsReader(m_document, node[i], pathOf(key) + "[" + std::to_string(i) + "]"));
    }
    return result;
}

void SettingsReader::addProblem(const std::string &key, const std::string &message)
{
    const YAML::Node node = has(key) ? m_node[key] : m_node;
    const int line = node.Mark().is_null() ? 0 : node.Mark().line + 1;
    m_document->problems.push_back({m_document->name, line, pathOf(key), message});
}

void SettingsReader::noteUnknownKeys()
{
    for (const std::string &key : keys()) {
        if (!m_knownKeys->contains(key)) {
            addProblem(key, "This key is not known.");
        }
    }
}

Core::Result<void> SettingsReader::finish()
{
    noteUnknownKeys();
    for (SettingsReader &reader : m_document->readers) {
        reader.noteUnknownKeys();
    }
    // The readers hold the document and the document holds them; this lets both go.
    m_document->readers.clear();
    if (m_document->problems.empty()) {
        return Core::success();
    }
    return Core::Error{Core::ErrorCode::InvalidArgument, "settings.check", m_document->name, joinProblems(m_document->problems)};
}

std::string SettingsReader::pathOf(const std::string &key) const
{
    return m_prefix.empty() ? key : m_prefix + "." + key;
}

} // namespace Verbena::Settings
