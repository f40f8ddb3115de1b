#pragma once

#include <core/result.h>

#include <string>
#include <string_view>

namespace Verbena::SettingsTree {

/// \brief What a row of the settings tree describes.
enum class RowKind {
    Model,
    Service,
    BackendServer,
    Organisation,
    Team,
    Operator,
};

/// \brief Every key of the tree in the table begins with this.
inline constexpr std::string_view treePrefix = "settings/";

/// \brief Names one row of the settings tree.
struct TreePath
{
    RowKind kind = RowKind::Model;
    std::string name;
    std::string organisation; ///< Of a team; empty for every other kind.

    /// \brief Parses a key of the table, for instance "settings/models/analyst". Errors: InvalidArgument.
    static Core::Result<TreePath> fromString(std::string_view key);

    /// \brief The key of the row in the table.
    std::string toString() const;
};

/// \brief True if \a name may name something in the tree: letters, digits, '.', '_' and '-', within the limit.
bool isValidName(std::string_view name);

/// \brief True if the row \a key is \a subtree itself or lies below it; both without or with the prefix of the tree.
bool isWithin(std::string_view key, std::string_view subtree);

} // namespace Verbena::SettingsTree
