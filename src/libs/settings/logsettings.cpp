#include "logsettings.h"

#include "settingsreader.h"

#include <array>

namespace Verbena::Settings {

namespace {

struct Level
{
    const char *name;
    Observe::Severity severity;
};

constexpr std::array<Level, 4> levels{
    {{"debug", Observe::Severity::Debug}, {"info", Observe::Severity::Info}, {"warning", Observe::Severity::Warning}, {"error", Observe::Severity::Error}}};

Observe::Severity severityOf(const std::string &name)
{
    for (const Level &level : levels) {
        if (name == level.name) {
            return level.severity;
        }
    }
    return Observe::Severity::Info;
}

} // namespace

Observe::LogOptions readLogSettings(SettingsReader &root, const std::string &process)
{
    SettingsReader section = root.section("log");
    Observe::LogOptions options;
    options.process = process;
    options.isJson = section.choice("format", "text", {"text", "json"}) == "json";
    std::vector<std::string> names;
    names.reserve(levels.size());
    for (const Level &level : levels) {
        names.emplace_back(level.name);
    }
    options.threshold = severityOf(section.choice("level", "info", names));
    return options;
}

} // namespace Verbena::Settings
