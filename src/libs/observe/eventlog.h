#pragma once

#include "event.h"

#include <core/result.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Verbena::Observe {

/// \brief One named value of a logged event. Never a secret.
struct Field
{
    std::string_view name;
    std::string value;
};

/// \brief How a process writes its log.
struct LogOptions
{
    std::string process; ///< Name of the process, in every line.
    bool isJson = false; ///< One JSON object a line instead of text.
    Severity threshold = Severity::Info;
    bool isBounded = false; ///< On standard output, never waiting for its reader, and with a limit on lines a second.
};

/// \brief Sets up the log of this process on standard error, or on standard output if it is bounded. Without it nothing is logged.
void configureLog(const LogOptions &options);

/// \brief Hands what a bounded log holds to its reader, as far as that takes it; to be called several times a second.
void flushLog();

/// \brief Writes \a event with \a fields to the log.
void log(const Event &event, std::initializer_list<Field> fields = {});

/// \brief Writes \a event with step, peer, code and message of \a error.
void log(const Event &event, const Core::Error &error, std::initializer_list<Field> fields = {});

} // namespace Verbena::Observe
