#include "treecheck.h"

#include <algorithm>
#include <unordered_map>

namespace Verbena::SettingsTree {

namespace {

// Collects the missing targets of references between rows.
class TreeChecker
{
public:
    explicit TreeChecker(const Tree &tree)
        : m_tree(tree)
    {
    }

    std::vector<TreeProblem> run()
    {
        for (const auto &[path, content] : m_tree) {
            m_path = &path;
            std::visit(*this, content);
        }
        return std::move(m_problems);
    }

    void operator()(const Settings::ModelSettings &)
    {
    }

    void operator()(const Settings::ServiceSettings &)
    {
    }

    void operator()(const OrganisationRow &)
    {
    }

    void operator()(const Settings::BackendServerSettings &server)
    {
        checkModels(server.models);
        if (!server.service.empty()) {
            checkService("service", server.service);
        }
    }

    void operator()(const Settings::TeamSettings &team)
    {
        if (!m_tree.contains(TreePath{RowKind::Organisation, team.organisation, {}}.toString())) {
            add("teams", "The organisation \"" + team.organisation + "\" is not declared.");
        }
        checkModels(team.models);
        for (const std::string &service : team.services) {
            checkService("services", service);
        }
        for (const std::string &hash : team.keySha256) {
            checkUnique(hash, "keys");
        }
    }

    void operator()(const OperatorSettings &operatorSettings)
    {
        checkUnique(operatorSettings.keySha256, "key");
    }

private:
    void checkModels(const std::vector<std::string> &models)
    {
        for (const std::string &model : models) {
            checkModel(model);
        }
    }

    void checkModel(const std::string &reference)
    {
        const std::size_t colon = reference.find(':');
        const std::string name = reference.substr(0, colon);
        const auto found = m_tree.find(TreePath{RowKind::Model, name, {}}.toString());
        const auto *model = found == m_tree.end() ? nullptr : std::get_if<Settings::ModelSettings>(&found->second);
        if (model == nullptr) {
            add("models", "The model \"" + name + "\" is not declared.");
        } else if (colon != std::string::npos && std::ranges::find(model->adapters, reference.substr(colon + 1)) == model->adapters.end()) {
            add("models", "The model \"" + name + "\" declares no adapter \"" + reference.substr(colon + 1) + "\".");
        }
    }

    void checkService(const char *key, const std::string &name)
    {
        if (!m_tree.contains(TreePath{RowKind::Service, name, {}}.toString())) {
            add(key, "The service \"" + name + "\" is not declared.");
        }
    }

    void checkUnique(const std::string &hash, const char *key)
    {
        const auto [owner, isNew] = m_keyOwners.emplace(hash, *m_path);
        if (!isNew) {
            add(key, "This key's hash stands at \"" + owner->second + "\" as well.");
        }
    }

    void add(const char *key, std::string message)
    {
        m_problems.push_back({*m_path, key, std::move(message)});
    }

    const Tree &m_tree;
    const std::string *m_path = nullptr;
    std::unordered_map<std::string, std::string> m_keyOwners;
    std::vector<TreeProblem> m_problems;
};

} // namespace

std::vector<TreeProblem> checkTree(const Tree &tree)
{
    return TreeChecker(tree).run();
}

} // namespace Verbena::SettingsTree
