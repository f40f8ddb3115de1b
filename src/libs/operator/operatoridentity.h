#pragma once

#include "changeplan.h"

#include <string>

namespace Verbena::Operator {

/// \brief Who asks for a change, with the key that proves it.
struct OperatorIdentity
{
    std::string name; ///< Of a row in "operators"; empty if none was given.
    std::string key; ///< Secret; only its hash is compared.
};

/// \brief SHA-256 of \a text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// \brief Checks that \a identity may make \a changes, by the grants in \a current.
///
/// A tree that declares no operators lets everybody change everything. The check runs in this program: it guards against mistakes. Who can
/// write to the table by other means is bound by the table's own access control only. Errors: PermissionDenied.
Core::Result<void> checkGrants(const Decisions::SettingsStore &current, const OperatorIdentity &identity, const std::vector<RowChange> &changes);

} // namespace Verbena::Operator
