#include "treefiles.h"

#include "treelimits.h"

#include <core/textfile.h>

namespace Verbena::SettingsTree {

namespace {

using Settings::SettingsReader;

constexpr const char *teamsKey = "teams";

// Some thousand bytes for each organisation of the target.
constexpr std::size_t maximumTreeBytes = 64 * 1024 * 1024;

std::vector<std::string> boundedStrings(SettingsReader &reader, const std::string &key)
{
    std::vector<std::string> texts = reader.strings(key);
    if (texts.size() > maximumListItems) {
        reader.addProblem(key, "The list may hold at most " + std::to_string(maximumListItems) + " items.");
    }
    for (const std::string &text : texts) {
        if (text.empty() || text.size() > maximumTextBytes) {
            reader.addProblem(key, "Each item must have between 1 and " + std::to_string(maximumTextBytes) + " bytes.");
            break;
        }
    }
    return texts;
}

std::string boundedString(SettingsReader &reader, const std::string &key)
{
    std::string text = reader.string(key, "");
    if (text.size() > maximumTextBytes) {
        reader.addProblem(key, "The value may have at most " + std::to_string(maximumTextBytes) + " bytes.");
    }
    return text;
}

std::uint32_t boundedCount(SettingsReader &reader, const std::string &key)
{
    return static_cast<std::uint32_t>(reader.integer(key, 0, 0, maximumCount));
}

double readShare(SettingsReader &reader)
{
    return reader.number("share", 1.0, minimumShare, maximumShare);
}

void checkHash(SettingsReader &reader, const std::string &key, const std::string &hash)
{
    if (!isSha256Hex(hash)) {
        reader.addProblem(key, "A key is given by its SHA-256 hash: 64 lower-case hexadecimal digits.");
    }
}

Settings::ModelSettings readModel(SettingsReader &reader, const std::string &name)
{
    Settings::ModelSettings model;
    model.name = name;
    model.weightsVersion = boundedString(reader, "weights_version");
    model.adapters = boundedStrings(reader, "adapters");
    model.replicas = boundedCount(reader, "replicas");
    for (const std::string &adapter : model.adapters) {
        if (!isValidName(adapter)) {
            reader.addProblem("adapters", "\"" + adapter + "\" cannot be the name of an adapter.");
        }
    }
    return model;
}

Settings::ServiceSettings readService(SettingsReader &reader, const std::string &name)
{
    return {name, boundedStrings(reader, "non_idempotent_calls")};
}

Settings::BackendServerSettings readBackendServer(SettingsReader &reader, const std::string &name)
{
    Settings::BackendServerSettings server;
    server.name = name;
    server.endpoint = reader.requiredString("endpoint");
    server.agentPublicKey = boundedString(reader, "agent_public_key");
    server.failureDomain = boundedString(reader, "failure_domain");
    server.models = boundedStrings(reader, "models");
    server.service = boundedString(reader, "service");
    server.isCheckingFencing = reader.boolean("checks_fencing", false);
    server.isDrained = reader.boolean("drained", false);
    if (server.endpoint.size() > maximumTextBytes) {
        reader.addProblem("endpoint", "The value may have at most " + std::to_string(maximumTextBytes) + " bytes.");
    }
    if (server.models.empty() == server.service.empty()) {
        reader.addProblem("models", "A backend server serves either models or one service.");
    }
    return server;
}

std::map<std::string, std::uint32_t> readClasses(SettingsReader classes)
{
    std::map<std::string, std::uint32_t> marks;
    for (const std::string &name : classes.keys()) {
        if (!isValidName(name)) {
            classes.addProblem(name, "This cannot be the name of a request class.");
        }
        marks[name] = boundedCount(classes, name);
    }
    if (marks.size() > maximumListItems) {
        classes.addProblem("", "There may be at most " + std::to_string(maximumListItems) + " request classes.");
    }
    return marks;
}

Settings::TeamSettings readTeam(SettingsReader &reader, const std::string &organisation, const std::string &name)
{
    Settings::TeamSettings team;
    team.organisation = organisation;
    team.name = name;
    team.share = readShare(reader);
    team.maximumConcurrent = boundedCount(reader, "maximum_concurrent");
    team.keySha256 = boundedStrings(reader, "keys");
    team.models = boundedStrings(reader, "models");
    team.services = boundedStrings(reader, "services");
    team.classMarks = readClasses(reader.section("classes"));
    for (const std::string &hash : team.keySha256) {
        checkHash(reader, "keys", hash);
    }
    return team;
}

OperatorSettings readOperator(SettingsReader &reader, const std::string &name)
{
    OperatorSettings operatorSettings{name, reader.requiredString("key"), boundedStrings(reader, "subtrees")};
    checkHash(reader, "key", operatorSettings.keySha256);
    return operatorSettings;
}

// Reads each named mapping below one key of the root.
template<typename ReadRow>
void readNamed(SettingsReader &root, const std::string &key, ReadRow readRow)
{
    SettingsReader parent = root.section(key);
    for (const std::string &name : parent.keys()) {
        if (!isValidName(name)) {
            parent.addProblem(name, "This cannot be a name; names have 1 to 64 letters, digits, '.', '_' or '-'.");
            continue;
        }
        readRow(parent, name);
    }
}

std::string joinLines(const std::string &first, const std::string &second)
{
    return first.empty() || second.empty() ? first + second : first + '\n' + second;
}

Core::Result<NamedText> loadFile(const std::string &path)
{
    VERBENA_TRY(text, Core::readTextFile(path, maximumTreeBytes, "settings.read"));
    return NamedText{path, std::move(text)};
}

} // namespace

Core::Result<TreeFiles> TreeFiles::read(const std::vector<std::string> &paths)
{
    std::vector<NamedText> texts;
    for (const std::string &path : paths) {
        VERBENA_TRY(text, loadFile(path));
        texts.push_back(std::move(text));
    }
    return readTexts(texts);
}

Core::Result<TreeFiles> TreeFiles::readTexts(const std::vector<NamedText> &texts)
{
    TreeFiles files;
    std::string unreadable;
    for (const NamedText &text : texts) {
        auto root = SettingsReader::fromText(text.text, text.name);
        if (!root) {
            unreadable = joinLines(unreadable, root.error().peer + ": " + root.error().message);
            continue;
        }
        files.m_roots.push_back(root.value());
        files.readRoot(files.m_roots.back());
    }
    BOOST_OUTCOME_TRY(files.finish(unreadable));
    return files;
}

const Tree &TreeFiles::rows() const
{
    return m_rows;
}

Core::Result<void> TreeFiles::checkWhole(const Tree &whole)
{
    std::string elsewhere;
    for (const TreeProblem &problem : checkTree(whole)) {
        const auto origin = m_origins.find(problem.path);
        if (origin == m_origins.end()) {
            elsewhere = joinLines(elsewhere, problem.path + ": " + problem.key + ": " + problem.message);
        } else {
            origin->second.addProblem(problem.key, problem.message);
        }
    }
    return finish(elsewhere);
}

void TreeFiles::readRoot(SettingsReader &root)
{
    readNamed(root, "models", [this](SettingsReader &parent, const std::string &name) {
        SettingsReader reader = parent.section(name);
        addRow(reader, {RowKind::Model, name, {}}, readModel(reader, name));
    });
    readNamed(root, "services", [this](SettingsReader &parent, const std::string &name) {
        SettingsReader reader = parent.section(name);
        addRow(reader, {RowKind::Service, name, {}}, readService(reader, name));
    });
    readNamed(root, "backend_servers", [this](SettingsReader &parent, const std::string &name) {
        SettingsReader reader = parent.section(name);
        addRow(reader, {RowKind::BackendServer, name, {}}, readBackendServer(reader, name));
    });
    readNamed(root, "organisations", [this](SettingsReader &parent, const std::string &name) { readOrganisation(parent, name); });
    readNamed(root, "operators", [this](SettingsReader &parent, const std::string &name) {
        SettingsReader reader = parent.section(name);
        addRow(reader, {RowKind::Operator, name, {}}, readOperator(reader, name));
    });
}

void TreeFiles::readOrganisation(SettingsReader &parent, const std::string &name)
{
    SettingsReader reader = parent.section(name);
    // A file that only contains teams does not change the organisation itself.
    const std::vector<std::string> keys = reader.keys();
    const bool isTeamsOnly = keys.size() == 1 && keys.front() == teamsKey;
    if (!isTeamsOnly) {
        addRow(reader, {RowKind::Organisation, name, {}}, OrganisationRow{name, readShare(reader)});
    }
    readNamed(reader, teamsKey, [this, &name](SettingsReader &teams, const std::string &team) {
        SettingsReader teamReader = teams.section(team);
        addRow(teamReader, {RowKind::Team, team, name}, readTeam(teamReader, name, team));
    });
}

void TreeFiles::addRow(const SettingsReader &reader, const TreePath &path, RowContent content)
{
    const std::string key = path.toString();
    if (!m_rows.emplace(key, std::move(content)).second) {
        SettingsReader(reader).addProblem("", "This is given more than once.");
        return;
    }
    m_origins.emplace(key, reader);
    if (encodeRow(m_rows.at(key)).size() > maximumRowBytes) {
        SettingsReader(reader).addProblem("", "This is too large.");
    }
}

Core::Result<void> TreeFiles::finish(const std::string &otherProblems)
{
    std::string problems = otherProblems;
    for (SettingsReader &root : m_roots) {
        const auto finished = root.finish();
        if (!finished) {
            problems = joinLines(problems, finished.error().message);
        }
    }
    if (!problems.empty()) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "settings.check", "", problems};
    }
    return Core::success();
}

Core::Result<Tree> readWholeTree(const std::vector<std::string> &paths)
{
    VERBENA_TRY(files, TreeFiles::read(paths));
    BOOST_OUTCOME_TRY(files.checkWhole(files.rows()));
    return files.rows();
}

} // namespace Verbena::SettingsTree
