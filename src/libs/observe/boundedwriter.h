#pragma once

#include <core/time.h>

#include <log4cxx/helpers/writer.h>

#include <cstdint>
#include <string>

namespace Verbena::Observe {

/// \brief How much a bounded log may write.
struct BoundedLogLimits
{
    double linesPerSecond = 400; ///< On average; a router at its share of a core answers about a hundred requests a second.
    double burstLines = 800; ///< At once.
    std::size_t bufferBytes = 256 * 1024; ///< Held for a reader that is slow; what comes beyond is left out.
};

/// \brief Writes lines to a descriptor without ever waiting for its reader; what is left out is counted and said.
class BoundedWriter : public log4cxx::helpers::Writer
{
public:
    BoundedWriter(int descriptor, const BoundedLogLimits &limits);

    void write(const log4cxx::LogString &text, log4cxx::helpers::Pool &pool) override;
    void flush(log4cxx::helpers::Pool &pool) override;
    void close(log4cxx::helpers::Pool &pool) override;

    /// \brief Hands what is buffered to the descriptor, as far as it takes it now.
    void drain();

    /// \brief Lines that were left out so far.
    std::uint64_t leftOut() const;

private:
    bool isWithinRate();
    void append(const std::string &line);

    int m_descriptor;
    BoundedLogLimits m_limits;
    std::string m_buffer;
    double m_tokens;
    Core::TimePoint m_refilledAt{};
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_leftOutUnsaid = 0;
};

} // namespace Verbena::Observe
