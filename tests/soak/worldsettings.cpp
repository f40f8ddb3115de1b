#include "worldsettings.h"

namespace Verbena::Soak {

using nlohmann::json;

namespace {

constexpr int shortTimeoutMilliseconds = 3000;
constexpr int portsOfHost = 16;
constexpr int slowTimeoutMilliseconds = 15'000;

json route(const std::string &prefix, const char *kind, const char *service, bool isResumable, int timeout = shortTimeoutMilliseconds)
{
    return {{"name", prefix},
        {"hostname", "x.example"},
        {"prefix", prefix},
        {"kind", kind},
        {"timeoutMs", timeout},
        {"targetLatencyMs", 1000},
        {"priority", 1},
        {"service", service},
        {"attempts", 2},
        {"public", false},
        {"resumable", isResumable}};
}

} // namespace

std::string hostFileText(const HostSettings &settings)
{
    return "nodeName: \"" + settings.name + "\"\nip: \"" + settings.ip + "\"\nzone: \"hall\"\nportRange: [" + std::to_string(settings.firstPort) + ", "
        + std::to_string(settings.firstPort + portsOfHost - 1) + "]\nlimits:\n  memoryMb: " + std::to_string(settings.memoryMegabytes) + "\nbounds:\n  graceS: "
        + std::to_string(settings.grace.count()) + "\n  retrySlack: 500\n" + settings.more + "provider:\n  address: \"" + settings.store + "\"\n";
}

json configurationRow(int version, const std::string &newestPath)
{
    return {{"version", version},
        {"routes",
            {route("/safe/", "idempotent", "register", false),
                route("/once/", "non_idempotent", "register", false),
                route("/resume/", "streaming", "reader", true),
                route("/resume-long/", "streaming", "reader", true, slowTimeoutMilliseconds),
                route("/slow/", "idempotent", "press", false, slowTimeoutMilliseconds),
                route("/slow-once/", "non_idempotent", "press", false, slowTimeoutMilliseconds),
                route("/long/", "streaming", "press", false, slowTimeoutMilliseconds),
                route(newestPath, "idempotent", "register", false)}},
        {"services", {{{"name", "reader"}, {"engine", {{"slots", 96}}}}, {{"name", "register"}}, {{"name", "press"}}}},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "dams"}, {"apiKeys", {"secret"}}, {"dedicated", false}}}}};
}

json serverRow(const std::string &service, const std::string &address, const std::string &software, std::uint64_t weights)
{
    json models = json::array();
    if (weights != 0) {
        models.push_back({{"name", "m"}, {"version", weights}});
    }
    return {{"service", service},
        {"address", address},
        {"zone", "hall"},
        {"slots", 96},
        {"phase", "ready"},
        {"version", software},
        {"models", models},
        {"sequence", 1}};
}

} // namespace Verbena::Soak
