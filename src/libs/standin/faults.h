#pragma once

#include <core/result.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Standin {

/// \brief Where a stand-in ends its process without a word.
enum class CrashPoint {
    Never,
    Now,
    BeforeAdmission, ///< When the next request has come, before it is noted as run.
    AtToken, ///< When some answer has had Faults::crashToken tokens, all of them sent.
    AfterLastToken, ///< When all tokens of some answer are sent, before its end is.
};

/// \brief What a stand-in does wrong, by its flags or by `POST /control`.
///
/// The body of the control call is a JSON object with any of these fields; those left out stay as they are:
/// `crash` ("never", "now", "before_admission", "at_token", "after_last_token"), `crash_token` (number), `hang` (bool; nothing but /control is
/// answered), `slow_factor` (number from 1), `cut_after_tokens` (number; below 0 for off), `lose_answer` (bool; the request runs, then the
/// connection is cut in place of the answer's end), `times` (how many requests are cut or lose their answer before both faults go off; 0 for no limit),
/// `refuse_connections_ms` (for so long no connection is accepted, and requests on open ones are cut before they run).
struct Faults
{
    CrashPoint crash = CrashPoint::Never;
    std::uint32_t crashToken = 1;
    bool isHanging = false;
    double slowFactor = 1;
    std::optional<std::uint32_t> cutAfterTokens;
    bool isLosingAnswers = false;
    std::uint32_t times = 0;
    std::chrono::milliseconds refuseConnections{0};

    /// \brief These faults changed by the JSON object \a body. Errors: InvalidArgument.
    Core::Result<Faults> changedBy(const std::string &body) const;

    /// \brief Notes that a request was cut or lost its answer, which uses up one of #times.
    void consumeOne();
};

} // namespace Verbena::Standin
