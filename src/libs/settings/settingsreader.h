#pragma once

#include "settingdescription.h"
#include "settingsproblem.h"

#include <core/result.h>

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief Reads one mapping of a YAML file and collects all problems instead of stopping at the first.
///
/// Each key is read with its type, range and default. finish() on the root reports unknown keys and all problems.
class SettingsReader
{
public:
    /// \brief Opens a file. Errors: NotFound, InvalidArgument (not YAML, or not a mapping), with file and line.
    static Core::Result<SettingsReader> fromFile(const std::string &path);

    /// \brief Reads \a text; \a name is used as the file name in problems.
    static Core::Result<SettingsReader> fromText(const std::string &text, const std::string &name);

    /// \brief Creates a reader without a file that records the description of each key that is read.
    ///
    /// Every key seems to exist, every list has one item, and mappings with free names have one entry "<name>". All values are defaults without problems.
    static SettingsReader forDescription();

    /// \brief Returns the descriptions of the keys read so far, in that order; only for a reader made for descriptions.
    const std::vector<SettingDescription> &descriptions() const;

    bool has(const std::string &key) const;
    std::vector<std::string> keys() const;

    std::string requiredString(const std::string &key);
    std::string string(const std::string &key, const std::string &defaultValue);
    std::int64_t integer(const std::string &key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum);
    double number(const std::string &key, double defaultValue, double minimum, double maximum);
    bool boolean(const std::string &key, bool defaultValue);
    std::vector<std::string> strings(const std::string &key);

    /// \brief Reads one of the words \a allowed.
    std::string choice(const std::string &key, const std::string &defaultValue, const std::vector<std::string> &allowed);

    /// \brief Reads a span of time, written as a whole number with a unit: us, ms, s, min or h.
    std::chrono::microseconds span(
        const std::string &key, std::chrono::microseconds defaultValue, std::chrono::microseconds minimum, std::chrono::microseconds maximum);

    /// \brief Returns a reader of the mapping under \a key, which is empty if the key is absent.
    SettingsReader section(const std::string &key);

    /// \brief Returns readers of the mappings in the list under \a key.
    std::vector<SettingsReader> sections(const std::string &key);

    /// \brief Adds a problem that the caller found with the value of \a key.
    void addProblem(const std::string &key, const std::string &message);

    /// \brief Returns an error with all problems found so far, including unknown keys, or success if there are none.
    Core::Result<void> finish();

    /// \brief Like finish(), for files with keys of other programs: unknown keys are allowed.
    Core::Result<void> finishKnown();

private:
    struct Document;

    SettingsReader(std::shared_ptr<Document> document, const YAML::Node &node, std::string prefix, int line);
    bool isPresent(const std::string &key) const;
    int lineOf(const std::string &key) const;
    void describe(const std::string &key, const std::string &type, const std::string &defaultValue, const std::string &range = {});
    YAML::Node take(const std::string &key);
    template<typename T>
    T scalar(const std::string &key, const T &defaultValue, const char *expected);
    void noteUnknownKeys();
    std::string pathOf(const std::string &key) const;

    std::shared_ptr<Document> m_document;
    YAML::Node m_node;
    std::string m_prefix;
    int m_line; ///< Line of this mapping, or of the enclosing one if this one is absent.
    std::shared_ptr<std::set<std::string>> m_knownKeys;
};

} // namespace Verbena::Settings
