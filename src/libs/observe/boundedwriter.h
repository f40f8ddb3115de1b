#pragma once

#include <core/time.h>

#include <log4cxx/helpers/writer.h>

#include <cstdint>
#include <string>

namespace Verbena::Observe {

/// \brief Limits of a bounded log.
struct BoundedLogLimits
{
    double linesPerSecond = 400; ///< Average rate; a router with its share of a core answers about a hundred requests per second.
    double burstLines = 800; ///< Number of lines that may be written at once.
    std::size_t bufferBytes = 256 * 1024; ///< Size of the buffer for a slow reader; lines that do not fit are dropped.
};

/// \brief A log writer that never blocks on the reader of its descriptor. It drops lines beyond its limits and reports their number in the log.
class BoundedWriter : public log4cxx::helpers::Writer
{
public:
    BoundedWriter(int descriptor, const BoundedLogLimits &limits);

    void write(const log4cxx::LogString &text, log4cxx::helpers::Pool &pool) override;
    void flush(log4cxx::helpers::Pool &pool) override;
    void close(log4cxx::helpers::Pool &pool) override;

    /// \brief Writes as much of the buffer to the descriptor as is possible without blocking.
    void drain();

    /// \brief Returns the number of lines dropped so far.
    std::uint64_t droppedLines() const;

private:
    bool isWithinRate();
    void append(const std::string &line);

    int m_descriptor;
    BoundedLogLimits m_limits;
    std::string m_buffer;
    double m_tokens;
    Core::TimePoint m_refilledAt{};
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_unreportedLines = 0;
};

} // namespace Verbena::Observe
