#pragma once

#include "changeplan.h"

#include <string>

namespace Verbena::Operator {

/// \brief Name and key of the operator who requests a change.
struct OperatorIdentity
{
    std::string name; ///< Name of a row in "operators"; empty if none was given.
    std::string key; ///< Secret key, of which only the hash is compared.
};

/// \brief Returns the SHA-256 hash of \a text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// \brief Checks that \a identity may make \a changes, by the grants in \a current.
///
/// If the tree declares no operators, everybody may change everything. The check runs in this program and protects against mistakes only: writes to the table
/// by other means are restricted by the table's own access control. Errors: PermissionDenied.
Core::Result<void> checkGrants(const Decisions::SettingsStore &current, const OperatorIdentity &identity, const std::vector<RowChange> &changes);

} // namespace Verbena::Operator
