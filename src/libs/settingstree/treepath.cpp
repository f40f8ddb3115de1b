#include "treepath.h"

#include "treelimits.h"

#include <algorithm>
#include <vector>

namespace Verbena::SettingsTree {

namespace {

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t slash = path.find('/');
        parts.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(slash + 1);
    }
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '.'
        || character == '_' || character == '-';
}

std::string_view withoutPrefix(std::string_view path)
{
    return path.starts_with(treePrefix) ? path.substr(treePrefix.size()) : path;
}

Core::Error badPath(std::string_view key)
{
    return {Core::ErrorCode::InvalidArgument, "settings.path", std::string(key), "This key names no row of the settings tree."};
}

} // namespace

Core::Result<TreePath> TreePath::fromString(std::string_view key)
{
    if (!key.starts_with(treePrefix)) {
        return badPath(key);
    }
    const std::vector<std::string_view> parts = splitPath(withoutPrefix(key));
    if (parts.size() < 2 || !isValidName(parts[1])) {
        return badPath(key);
    }
    const std::string name(parts[1]);
    if (parts.size() == 4 && parts[0] == "organisations" && parts[2] == "teams" && isValidName(parts[3])) {
        return TreePath{RowKind::Team, std::string(parts[3]), name};
    }
    if (parts.size() != 2) {
        return badPath(key);
    }
    if (parts[0] == "models") {
        return TreePath{RowKind::Model, name, {}};
    }
    if (parts[0] == "services") {
        return TreePath{RowKind::Service, name, {}};
    }
    if (parts[0] == "backend_servers") {
        return TreePath{RowKind::BackendServer, name, {}};
    }
    if (parts[0] == "organisations") {
        return TreePath{RowKind::Organisation, name, {}};
    }
    if (parts[0] == "operators") {
        return TreePath{RowKind::Operator, name, {}};
    }
    return badPath(key);
}

std::string TreePath::toString() const
{
    std::string prefix(treePrefix);
    switch (kind) {
    case RowKind::Model:
        return prefix + "models/" + name;
    case RowKind::Service:
        return prefix + "services/" + name;
    case RowKind::BackendServer:
        return prefix + "backend_servers/" + name;
    case RowKind::Organisation:
        return prefix + "organisations/" + name;
    case RowKind::Team:
        return prefix + "organisations/" + organisation + "/teams/" + name;
    case RowKind::Operator:
        return prefix + "operators/" + name;
    }
    return prefix;
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maximumNameBytes && std::ranges::all_of(name, isNameCharacter);
}

bool isWithin(std::string_view key, std::string_view subtree)
{
    const std::string_view inner = withoutPrefix(key);
    const std::string_view outer = withoutPrefix(subtree);
    return inner == outer || (inner.size() > outer.size() && inner.starts_with(outer) && inner[outer.size()] == '/');
}

} // namespace Verbena::SettingsTree
