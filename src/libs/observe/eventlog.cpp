#include "eventlog.h"

#include "boundedwriter.h"
#include "eventformat.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

namespace Verbena::Observe {

namespace {

constexpr const char *loggerName = "verbena";
constexpr const char *textPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} %p %m%n";
constexpr const char *jsonPattern = "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT}\",%m%n";

log4cxx::LevelPtr levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cxx::Level::getDebug();
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warning:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

/// \brief The configuration made by configureLog(); set before the first event and only read afterwards.
struct LogState
{
    LogOptions options;
    log4cxx::LoggerPtr logger; ///< Null until the log is configured.
    std::shared_ptr<BoundedWriter> bounded; ///< Null if the log is not bounded.
};

LogState &state()
{
    static LogState theState;
    return theState;
}

void write(const Event &event, const std::vector<Field> &fields)
{
    const LogState &current = state();
    if (!current.logger) {
        return;
    }
    const log4cxx::LevelPtr level = levelOf(event.severity);
    if (!current.logger->isEnabledFor(level)) {
        return;
    }
    const std::string &process = current.options.process;
    const std::string line = current.options.isJson ? formatJsonMembers(process, event, fields) : process + ' ' + formatText(event, fields);
    current.logger->forcedLog(level, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace

void configureLog(const LogOptions &options)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(options.isJson ? jsonPattern : textPattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, options.isBounded ? "System.out" : "System.err");
    std::shared_ptr<BoundedWriter> bounded;
    if (options.isBounded) {
        bounded = std::make_shared<BoundedWriter>(STDOUT_FILENO, BoundedLogLimits());
        appender->setWriter(bounded);
    }
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(loggerName);
    logger->removeAllAppenders();
    logger->addAppender(appender);
    logger->setAdditivity(false);
    logger->setLevel(levelOf(options.threshold));
    state() = {options, logger, bounded};
}

void flushLog()
{
    if (state().bounded) {
        state().bounded->drain();
    }
}

void log(const Event &event, std::initializer_list<Field> fields)
{
    write(event, fields);
}

void log(const Event &event, const Core::Error &error, std::initializer_list<Field> fields)
{
    std::vector<Field> all{{"step", error.step}, {"peer", error.peer}, {"code", std::string(Core::errorCodeName(error.code))}, {"message", error.message}};
    all.insert(all.end(), fields.begin(), fields.end());
    write(event, all);
}

} // namespace Verbena::Observe
