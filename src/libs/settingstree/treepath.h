#pragma once

#include <core/result.h>

#include <string>
#include <string_view>

namespace Verbena::SettingsTree {

/// \brief Kind of a row of the settings tree.
enum class RowKind {
    Model,
    Service,
    BackendServer,
    Organisation,
    Team,
    Operator,
};

/// \brief Prefix of all keys of the settings tree in the table.
inline constexpr std::string_view treePrefix = "settings/";

/// \brief Path of a row of the settings tree.
struct TreePath
{
    RowKind kind = RowKind::Model;
    std::string name;
    std::string organisation; ///< Organisation of a team; empty for other kinds.

    /// \brief Parses a key of the table, for instance "settings/models/analyst". Errors: InvalidArgument.
    static Core::Result<TreePath> fromString(std::string_view key);

    /// \brief Returns the key of the row in the table.
    std::string toString() const;
};

/// \brief Returns whether \a name is a valid name in the tree: letters, digits, '.', '_' and '-', within the limit.
bool isValidName(std::string_view name);

/// \brief Returns whether the row \a key is the root of \a subtree or below it; both with or both without the prefix of the tree.
bool isWithin(std::string_view key, std::string_view subtree);

} // namespace Verbena::SettingsTree
