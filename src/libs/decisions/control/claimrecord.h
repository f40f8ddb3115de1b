#pragma once

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief The outcome of the first run of a claimed request, with which duplicates are answered.
struct ClaimOutcome
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body; ///< UTF-8.
};

/// \brief The content of the row of a claim.
struct ClaimRecord
{
    std::string token; ///< Unique token of the process and attempt that hold the claim.
    std::uint64_t requestHash = 0; ///< Hash that distinguishes a duplicate from another request under the same key.
    Core::WallTime expiry; ///< Time after which the key may be used again.
    std::optional<ClaimOutcome> outcome; ///< Empty while the outcome is unknown.

    /// \brief Returns the value of the row.
    std::string encode() const;

    /// \brief Parses the value of a row. Errors: InvalidArgument.
    static Core::Result<ClaimRecord> decode(const std::string &text);
};

/// \brief Returns the key of the table row for a caller's idempotency key.
std::string claimRowKey(const std::string &organisation, const std::string &team, const std::string &idempotencyKey);

} // namespace Verbena::Decisions
