#include "boundedwriter.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace Verbena::Observe {

namespace {

// Number of bytes that a writable pipe accepts without blocking.
constexpr std::size_t writeBytes = PIPE_BUF;

} // namespace

BoundedWriter::BoundedWriter(int descriptor, const BoundedLogLimits &limits)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_tokens(limits.burstLines)
    , m_refilledAt(Core::Clock::now())
{
}

void BoundedWriter::write(const log4cxx::LogString &text, log4cxx::helpers::Pool &)
{
    if (!isWithinRate() || m_buffer.size() + text.size() > m_limits.bufferBytes) {
        ++m_droppedLines;
        ++m_unreportedLines;
        return;
    }
    if (m_unreportedLines > 0) {
        m_buffer.append("{\"level\":\"WARN\",\"event\":\"log_lines_left_out\",\"count\":" + std::to_string(m_unreportedLines) + "}\n");
        m_unreportedLines = 0;
    }
    m_buffer.append(text);
    if (m_buffer.size() >= writeBytes) {
        drain();
    }
}

bool BoundedWriter::isWithinRate()
{
    const Core::TimePoint now = Core::Clock::now();
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_limits.burstLines, m_tokens + passed.count() * m_limits.linesPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void BoundedWriter::drain()
{
    while (!m_buffer.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), writeBytes));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

void BoundedWriter::flush(log4cxx::helpers::Pool &)
{
    // The appender calls this after each line. Nothing is written here, so that lines are written together.
}

void BoundedWriter::close(log4cxx::helpers::Pool &)
{
    drain();
}

std::uint64_t BoundedWriter::droppedLines() const
{
    return m_droppedLines;
}

} // namespace Verbena::Observe
