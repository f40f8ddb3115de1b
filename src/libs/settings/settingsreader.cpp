#include "settingsreader.h"

#include <core/textfile.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>

namespace Verbena::Settings {

struct SettingsReader::Document
{
    std::string name;
    std::vector<SettingsProblem> problems;
    std::vector<SettingsReader> readers; ///< All readers of sections, to find unknown keys.
    bool isDescribing = false;
    std::vector<SettingDescription> descriptions;
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

// Returns the value in the largest unit without a fraction.
std::string formatSpan(std::chrono::microseconds span)
{
    const SpanUnit *best = &spanUnits[0];
    for (const SpanUnit &unit : spanUnits) {
        if (span.count() != 0 && span.count() % unit.microseconds == 0) {
            best = &unit;
        }
    }
    return std::to_string(span.count() / best->microseconds).append(best->name);
}

template<typename T>
std::string formatNumber(T value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

template<typename T>
std::string rangeText(T minimum, T maximum)
{
    if (maximum == std::numeric_limits<T>::max()) {
        return "at least " + formatNumber(minimum);
    }
    return formatNumber(minimum) + " to " + formatNumber(maximum);
}

template<typename T>
std::string rangeMessage(T minimum, T maximum)
{
    return "The value must lie between " + formatNumber(minimum) + " and " + formatNumber(maximum) + ".";
}

std::string asCode(const std::string &value)
{
    return value.empty() ? "empty" : "`" + value + "`";
}

std::string joinWords(const std::vector<std::string> &words, const char *separator)
{
    std::string text;
    for (const std::string &word : words) {
        text += text.empty() ? "" : separator;
        text += word;
    }
    return text;
}

int lineOfNode(const YAML::Node &node, int fallback)
{
    return node.Mark().is_null() ? fallback : node.Mark().line + 1;
}

constexpr const char *requiredText = "required";
constexpr const char *textType = "text";
constexpr const char *anyName = "<name>";

} // namespace

Core::Result<SettingsReader> SettingsReader::fromFile(const std::string &path)
{
    VERBENA_TRY(text, Core::readTextFile(path, Core::maximumSettingsBytes, "settings.read"));
    return fromText(text, path);
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
        return SettingsReader(document, root, "", 1);
    } catch (const YAML::Exception &exception) {
        const std::string place = name + ":" + std::to_string(std::max(exception.mark.line + 1, 1));
        return Core::Error{Core::ErrorCode::InvalidArgument, "settings.read", place, "This is not valid YAML: " + exception.msg + "."};
    }
}

SettingsReader SettingsReader::forDescription()
{
    auto document = std::make_shared<Document>();
    document->isDescribing = true;
    return SettingsReader(document, YAML::Node(YAML::NodeType::Map), "", 1);
}

const std::vector<SettingDescription> &SettingsReader::descriptions() const
{
    return m_document->descriptions;
}

SettingsReader::SettingsReader(std::shared_ptr<Document> document, const YAML::Node &node, std::string prefix, int line)
    : m_document(std::move(document))
    , m_node(node)
    , m_prefix(std::move(prefix))
    , m_line(line)
    , m_knownKeys(std::make_shared<std::set<std::string>>())
{
    if (!m_prefix.empty()) {
        m_document->readers.push_back(*this);
    }
}

bool SettingsReader::has(const std::string &key) const
{
    return m_document->isDescribing || isPresent(key);
}

bool SettingsReader::isPresent(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

int SettingsReader::lineOf(const std::string &key) const
{
    return isPresent(key) ? lineOfNode(m_node[key], m_line) : m_line;
}

void SettingsReader::describe(const std::string &key, const std::string &type, const std::string &defaultValue, const std::string &range)
{
    if (m_document->isDescribing) {
        m_document->descriptions.push_back({pathOf(key), type, defaultValue, range});
    }
}

std::vector<std::string> SettingsReader::keys() const
{
    std::vector<std::string> names;
    if (m_document->isDescribing) {
        names.emplace_back(anyName);
    }
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
    return isPresent(key) ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
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
    describe(key, textType, requiredText);
    if (!isPresent(key)) {
        m_knownKeys->insert(key);
        addProblem(key, "This key is required.");
        return {};
    }
    return scalar<std::string>(key, "", "a text");
}

std::string SettingsReader::string(const std::string &key, const std::string &defaultValue)
{
    describe(key, textType, asCode(defaultValue));
    return scalar<std::string>(key, defaultValue, "a text");
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    describe(key, "whole number", formatNumber(defaultValue), rangeText(minimum, maximum));
    const auto value = scalar<std::int64_t>(key, defaultValue, "a whole number");
    if (value < minimum || value > maximum) {
        addProblem(key, rangeMessage(minimum, maximum));
        return defaultValue;
    }
    return value;
}

double SettingsReader::number(const std::string &key, double defaultValue, double minimum, double maximum)
{
    describe(key, "number", formatNumber(defaultValue), rangeText(minimum, maximum));
    const auto value = scalar<double>(key, defaultValue, "a number");
    if (!(value >= minimum && value <= maximum)) {
        addProblem(key, rangeMessage(minimum, maximum));
        return defaultValue;
    }
    return value;
}

bool SettingsReader::boolean(const std::string &key, bool defaultValue)
{
    describe(key, "true or false", defaultValue ? "true" : "false");
    return scalar<bool>(key, defaultValue, "true or false");
}

std::vector<std::string> SettingsReader::strings(const std::string &key)
{
    describe(key, "list of texts", "empty");
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

std::string SettingsReader::choice(const std::string &key, const std::string &defaultValue, const std::vector<std::string> &allowed)
{
    describe(key, "word", asCode(defaultValue), joinWords(allowed, ", "));
    auto value = scalar<std::string>(key, defaultValue, "a text");
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
        addProblem(key, "The value must be one of " + joinWords(allowed, ", ") + ".");
        return defaultValue;
    }
    return value;
}

std::chrono::microseconds SettingsReader::span(
    const std::string &key, std::chrono::microseconds defaultValue, std::chrono::microseconds minimum, std::chrono::microseconds maximum)
{
    describe(key, "span of time", formatSpan(defaultValue), formatSpan(minimum) + " to " + formatSpan(maximum));
    if (!isPresent(key)) {
        m_knownKeys->insert(key);
        return defaultValue;
    }
    const auto value = parseSpan(scalar<std::string>(key, "", "a text"));
    if (!value.has_value()) {
        addProblem(key, "The value must be a span of time such as 250ms; the units are us, ms, s, min and h.");
        return defaultValue;
    }
    if (*value < minimum || *value > maximum) {
        addProblem(key, "The span must lie between " + formatSpan(minimum) + " and " + formatSpan(maximum) + ".");
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
    return SettingsReader(m_document, isMap ? node : YAML::Node(YAML::NodeType::Map), pathOf(key), lineOf(key));
}

std::vector<SettingsReader> SettingsReader::sections(const std::string &key)
{
    std::vector<SettingsReader> result;
    if (m_document->isDescribing) {
        result.push_back(SettingsReader(m_document, YAML::Node(YAML::NodeType::Map), pathOf(key) + "[]", m_line));
        return result;
    }
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
        result.push_back(SettingsReader(m_document, node[i], pathOf(key) + "[" + std::to_string(i) + "]", lineOfNode(node[i], lineOf(key))));
    }
    return result;
}

void SettingsReader::addProblem(const std::string &key, const std::string &message)
{
    m_document->problems.push_back({m_document->name, lineOf(key), pathOf(key), message});
}

void SettingsReader::noteUnknownKeys()
{
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const auto key = entry.first.as<std::string>("");
        const int line = lineOfNode(entry.first, m_line);
        if (!m_knownKeys->contains(key)) {
            m_document->problems.push_back({m_document->name, line, pathOf(key), "This key is not known."});
        } else if (!seen.insert(key).second) {
            // The library would use one of the two without an error.
            m_document->problems.push_back({m_document->name, line, pathOf(key), "This key stands here twice."});
        }
    }
}

Core::Result<void> SettingsReader::finish()
{
    noteUnknownKeys();
    for (SettingsReader &reader : m_document->readers) {
        reader.noteUnknownKeys();
    }
    return finishKnown();
}

Core::Result<void> SettingsReader::finishKnown()
{
    // The readers and the document own each other; this releases both.
    m_document->readers.clear();
    if (m_document->isDescribing || m_document->problems.empty()) {
        return Core::success();
    }
    return Core::Error{Core::ErrorCode::InvalidArgument, "settings.check", m_document->name, joinProblems(m_document->problems)};
}

std::string SettingsReader::pathOf(const std::string &key) const
{
    return m_prefix.empty() ? key : m_prefix + "." + key;
}

} // namespace Verbena::Settings
