#pragma once

#include "event.h"

#include <core/result.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Verbena::Observe {

/// \brief A named value of a logged event. It must never be a secret.
struct Field
{
    std::string_view name;
    std::string value;
};

/// \brief Options of the log of a process.
struct LogOptions
{
    std::string process; ///< Name of the process, included in every line.
    bool isJson = false; ///< True to write one JSON object per line instead of text.
    Severity threshold = Severity::Info; ///< Minimum severity of the events that are written.
    bool isBounded = false; ///< True to write to standard output without blocking on the reader, with a limit on lines per second.
};

/// \brief Sets up the log of this process on standard error, or on standard output if it is bounded. Nothing is logged before this call.
void configureLog(const LogOptions &options);

/// \brief Writes the buffered lines of a bounded log as far as its reader accepts them. Must be called several times per second.
void flushLog();

/// \brief Writes \a event with \a fields to the log.
void log(const Event &event, std::initializer_list<Field> fields = {});

/// \brief Writes \a event with step, peer, code and message of \a error, followed by \a fields.
void log(const Event &event, const Core::Error &error, std::initializer_list<Field> fields = {});

} // namespace Verbena::Observe
