#include "rowcodec.h"

#include "treelimits.h"

#include <json/jsontext.h>

#include <algorithm>

namespace Verbena::SettingsTree {

namespace {

using Json = nlohmann::json;

constexpr std::size_t sha256HexDigits = 64;

struct Encoder
{
    Json operator()(const Settings::ModelSettings &model) const
    {
        return {{"weights_version", model.weightsVersion}, {"adapters", model.adapters}, {"replicas", model.replicas}};
    }

    Json operator()(const Settings::ServiceSettings &service) const
    {
        return {{"non_idempotent_calls", service.nonIdempotentCalls}};
    }

    Json operator()(const Settings::BackendServerSettings &server) const
    {
        return {{"endpoint", server.endpoint},
            {"agent_public_key", server.agentPublicKey},
            {"failure_domain", server.failureDomain},
            {"models", server.models},
            {"service", server.service},
            {"checks_fencing", server.isCheckingFencing},
            {"drained", server.isDrained}};
    }

    Json operator()(const OrganisationRow &organisation) const
    {
        return {{"share", organisation.share}};
    }

    Json operator()(const Settings::TeamSettings &team) const
    {
        return {{"share", team.share},
            {"maximum_concurrent", team.maximumConcurrent},
            {"keys", team.keySha256},
            {"models", team.models},
            {"services", team.services},
            {"classes", team.classMarks}};
    }

    Json operator()(const OperatorSettings &operatorSettings) const
    {
        return {{"key", operatorSettings.keySha256}, {"subtrees", operatorSettings.subtrees}};
    }
};

// Thrown inside decodeRow() only, beside the exceptions of the JSON library.
struct LimitExceeded
{
    const char *key;
};

std::string textAt(const Json &json, const char *key)
{
    auto text = json.value(key, std::string());
    if (text.size() > maximumTextBytes) {
        throw LimitExceeded{key};
    }
    return text;
}

std::vector<std::string> textsAt(const Json &json, const char *key)
{
    auto texts = json.value(key, std::vector<std::string>());
    if (texts.size() > maximumListItems || std::ranges::any_of(texts, [](const std::string &text) { return text.size() > maximumTextBytes; })) {
        throw LimitExceeded{key};
    }
    return texts;
}

double shareAt(const Json &json)
{
    const double share = json.value("share", 1.0);
    if (!(share >= minimumShare && share <= maximumShare)) {
        throw LimitExceeded{"share"};
    }
    return share;
}

std::uint32_t checkedCount(const Json &json, const char *key)
{
    if (!json.is_number_integer() || json < 0 || json > maximumCount) {
        throw LimitExceeded{key};
    }
    return json.get<std::uint32_t>();
}

std::uint32_t countAt(const Json &json, const char *key)
{
    return json.contains(key) ? checkedCount(json.at(key), key) : 0;
}

std::map<std::string, std::uint32_t> marksAt(const Json &json, const char *key)
{
    std::map<std::string, std::uint32_t> marks;
    if (!json.contains(key)) {
        return marks;
    }
    const Json &entries = json.at(key);
    if (!entries.is_object() || entries.size() > maximumListItems) {
        throw LimitExceeded{key};
    }
    for (const auto &[name, mark] : entries.items()) {
        marks[name] = checkedCount(mark, key);
    }
    return marks;
}

Settings::BackendServerSettings decodeBackendServer(const std::string &name, const Json &json)
{
    Settings::BackendServerSettings server;
    server.name = name;
    server.endpoint = textAt(json, "endpoint");
    server.agentPublicKey = textAt(json, "agent_public_key");
    server.failureDomain = textAt(json, "failure_domain");
    server.models = textsAt(json, "models");
    server.service = textAt(json, "service");
    server.isCheckingFencing = json.value("checks_fencing", false);
    server.isDrained = json.value("drained", false);
    return server;
}

Settings::TeamSettings decodeTeam(const TreePath &path, const Json &json)
{
    Settings::TeamSettings team;
    team.organisation = path.organisation;
    team.name = path.name;
    team.share = shareAt(json);
    team.maximumConcurrent = countAt(json, "maximum_concurrent");
    team.keySha256 = textsAt(json, "keys");
    team.models = textsAt(json, "models");
    team.services = textsAt(json, "services");
    team.classMarks = marksAt(json, "classes");
    if (!std::ranges::all_of(team.keySha256, isSha256Hex)) {
        throw LimitExceeded{"keys"};
    }
    return team;
}

RowContent decodeJson(const TreePath &path, const Json &json)
{
    switch (path.kind) {
    case RowKind::Model:
        return Settings::ModelSettings{path.name, textAt(json, "weights_version"), textsAt(json, "adapters"), countAt(json, "replicas")};
    case RowKind::Service:
        return Settings::ServiceSettings{path.name, textsAt(json, "non_idempotent_calls")};
    case RowKind::BackendServer:
        return decodeBackendServer(path.name, json);
    case RowKind::Organisation:
        return OrganisationRow{path.name, shareAt(json)};
    case RowKind::Team:
        return decodeTeam(path, json);
    case RowKind::Operator:
        return OperatorSettings{path.name, textAt(json, "key"), textsAt(json, "subtrees")};
    }
    throw LimitExceeded{"kind"};
}

Core::Error malformed(const TreePath &path, const std::string &message)
{
    return {Core::ErrorCode::InvalidArgument, "settings.decode", path.toString(), message};
}

} // namespace

std::string encodeRow(const RowContent &content)
{
    // Objects of this JSON library are sorted by key, which makes the form canonical.
    return std::visit(Encoder{}, content).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Core::Result<RowContent> decodeRow(const TreePath &path, const std::string &text)
{
    if (text.size() > maximumRowBytes) {
        return malformed(path, "The row is too large.");
    }
    if (JsonText::isNestedTooDeep(text)) {
        return malformed(path, "The row is nested too deep.");
    }
    try {
        const Json json = Json::parse(text);
        if (!json.is_object()) {
            return malformed(path, "The row must be a mapping of keys.");
        }
        return decodeJson(path, json);
    } catch (const Json::exception &exception) {
        return malformed(path, std::string("The row is malformed: ") + exception.what() + ".");
    } catch (const LimitExceeded &exceeded) {
        return malformed(path, std::string("The value of ") + exceeded.key + " is not allowed.");
    }
}

bool isSha256Hex(const std::string &text)
{
    return text.size() == sha256HexDigits
        && std::ranges::all_of(text, [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

} // namespace Verbena::SettingsTree
