#pragma once

#include <core/result.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Standin {

/// \brief Point at which a stand-in ends its process without notice.
enum class CrashPoint {
    Never,
    Now,
    BeforeAdmission, ///< When the next request has arrived, before it is recorded as run.
    AtToken, ///< When Faults::crashToken tokens of an answer have been sent.
    AfterLastToken, ///< When all tokens of an answer have been sent, before the end of the answer.
};

/// \brief Faults that a stand-in simulates, set by its flags or by `POST /control`.
///
/// The body of the control call is a JSON object with any of these fields; members that are missing keep their values:
/// `crash` ("never", "now", "before_admission", "at_token", "after_last_token"), `crash_token` (number), `hang` (bool; only /control is
/// answered), `slow_factor` (number from 1), `cut_after_tokens` (number; negative for off), `lose_answer` (bool; the request runs, then the
/// connection is aborted instead of completing the answer), `times` (number of requests that are aborted or lose their answer before both faults are switched
/// off; 0 for no limit), `refuse_connections_ms` (period in which no connection is accepted and requests on open connections are aborted before they run).
struct Faults
{
    CrashPoint crash = CrashPoint::Never;
    std::uint32_t crashToken = 1;
    bool isHanging = false;
    double slowFactor = 1;
    std::optional<std::uint32_t> cutAfterTokens;
    bool isLosingAnswers = false;
    std::uint32_t remainingOccurrences = 0;
    std::chrono::milliseconds refuseConnections{0};

    /// \brief Returns these faults with the changes in the JSON object \a body. Errors: InvalidArgument.
    Core::Result<Faults> withChanges(const std::string &body) const;

    /// \brief Records that a request was aborted or lost its answer. Decrements #remainingOccurrences and switches both faults off when it reaches 0.
    void recordOccurrence();
};

} // namespace Verbena::Standin
