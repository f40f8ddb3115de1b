#pragma once

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief What the first run of a claimed request gave, as a duplicate gets it.
struct ClaimOutcome
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body; ///< UTF-8.
};

/// \brief The content of the row of a claim.
struct ClaimRecord
{
    std::string token; ///< Of the process and attempt that holds the claim; unique.
    std::uint64_t requestHash = 0; ///< Tells another request under the same key from a duplicate.
    Core::WallTime expiry; ///< After this the key may be used anew.
    std::optional<ClaimOutcome> outcome; ///< Nothing while it is not known.

    std::string encode() const;

    /// \brief Reads a row's value. Errors: InvalidArgument.
    static Core::Result<ClaimRecord> decode(const std::string &text);
};

/// \brief The key of the row for a caller's idempotency key.
std::string claimRowKey(const std::string &organisation, const std::string &team, const std::string &idempotencyKey);

} // namespace Verbena::Decisions
