#include "faults.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

struct NamedCrashPoint
{
    const char *name;
    CrashPoint point;
};

constexpr std::array<NamedCrashPoint, 5> crashPoints{{
    {"never", CrashPoint::Never},
    {"now", CrashPoint::Now},
    {"before_admission", CrashPoint::BeforeAdmission},
    {"at_token", CrashPoint::AtToken},
    {"after_last_token", CrashPoint::AfterLastToken},
}};

Core::Error invalid(const std::string &message)
{
    return Core::Error{Core::ErrorCode::InvalidArgument, "standin.control", "", message};
}

Core::Result<CrashPoint> crashPointOf(const std::string &name)
{
    for (const NamedCrashPoint &entry : crashPoints) {
        if (name == entry.name) {
            return entry.point;
        }
    }
    return invalid("The crash point '" + name + "' does not exist.");
}

} // namespace

Core::Result<Faults> Faults::withChanges(const std::string &body) const
{
    const json root = json::parse(body, nullptr, false);
    if (!root.is_object()) {
        return invalid("The body is not a JSON object.");
    }
    Faults changed = *this;
    try {
        if (root.contains("crash")) {
            VERBENA_TRY(point, crashPointOf(root["crash"].get<std::string>()));
            changed.crash = point;
        }
        changed.crashToken = root.value("crash_token", crashToken);
        changed.isHanging = root.value("hang", isHanging);
        changed.slowFactor = std::max(1.0, root.value("slow_factor", slowFactor));
        if (root.contains("cut_after_tokens")) {
            const auto count = root["cut_after_tokens"].get<std::int64_t>();
            changed.cutAfterTokens = count < 0 ? std::nullopt : std::optional(static_cast<std::uint32_t>(count));
        }
        changed.isLosingAnswers = root.value("lose_answer", isLosingAnswers);
        changed.remainingOccurrences = root.value("times", remainingOccurrences);
        changed.refuseConnections = std::chrono::milliseconds(root.value("refuse_connections_ms", std::int64_t{0}));
    } catch (const json::exception &exception) {
        return invalid(exception.what());
    }
    return changed;
}

void Faults::recordOccurrence()
{
    if (remainingOccurrences == 0 || --remainingOccurrences > 0) {
        return;
    }
    cutAfterTokens.reset();
    isLosingAnswers = false;
}

} // namespace Verbena::Standin
