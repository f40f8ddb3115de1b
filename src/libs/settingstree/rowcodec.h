#pragma once

#include "treepath.h"

#include <settings/inforcesettings.h>

#include <core/result.h>

#include <string>
#include <variant>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief The part of an organisation that has a row of its own; its teams have theirs.
struct OrganisationRow
{
    std::string name;
    double share = 1.0;
};

/// \brief An operator and what its key may change; only verbenactl reads it.
struct OperatorSettings
{
    std::string name;
    std::string keySha256; ///< Hash of the operator's key, lower-case hexadecimal.
    std::vector<std::string> subtrees; ///< For instance "organisations/kessick/teams".
};

/// \brief The typed content of one row; which alternative it is follows from the row's path.
using RowContent = std::
    variant<Settings::ModelSettings, Settings::ServiceSettings, Settings::BackendServerSettings, OrganisationRow, Settings::TeamSettings, OperatorSettings>;

/// \brief Content as rows hold it: JSON, which is YAML too, in one canonical form, so that equal settings are equal bytes.
std::string encodeRow(const RowContent &content);

/// \brief Reads the content of the row at \a path. Unknown keys are passed over, for the sake of newer versions.
///
/// Errors: InvalidArgument, if it is malformed or beyond the limits.
Core::Result<RowContent> decodeRow(const TreePath &path, const std::string &text);

/// \brief True if \a text is a SHA-256 hash in lower-case hexadecimal.
bool isSha256Hex(const std::string &text);

} // namespace Verbena::SettingsTree
