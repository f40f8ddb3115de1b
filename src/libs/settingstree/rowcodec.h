#pragma once

#include "treepath.h"

#include <settings/inforcesettings.h>

#include <core/result.h>

#include <string>
#include <variant>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief The row of an organisation without its teams, which have their own rows.
struct OrganisationRow
{
    std::string name;
    double share = 1.0;
};

/// \brief An operator and the subtrees that it may change; only verbenactl reads this row.
struct OperatorSettings
{
    std::string name;
    std::string keySha256; ///< Hash of the operator's key, lower-case hexadecimal.
    std::vector<std::string> subtrees; ///< For instance "organisations/kessick/teams".
};

/// \brief The decoded content of one row; the alternative depends on the row's path.
using RowContent = std::
    variant<Settings::ModelSettings, Settings::ServiceSettings, Settings::BackendServerSettings, OrganisationRow, Settings::TeamSettings, OperatorSettings>;

/// \brief Encodes the content of a row as canonical JSON, so that equal settings have equal bytes.
std::string encodeRow(const RowContent &content);

/// \brief Decodes the content of the row at \a path. Unknown keys are ignored, as newer versions may write them.
///
/// Errors: InvalidArgument, if it is malformed or exceeds a limit.
Core::Result<RowContent> decodeRow(const TreePath &path, const std::string &text);

/// \brief Returns whether \a text is a SHA-256 hash in lower-case hexadecimal.
bool isSha256Hex(const std::string &text);

} // namespace Verbena::SettingsTree
