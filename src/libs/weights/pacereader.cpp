#include "pacereader.h"

#include <eventloop/loop.h>

#include <utility>

namespace Verbena::Weights {

using std::chrono::milliseconds;

namespace {

// The router averages over seconds, for which this is often enough; short slowdowns end before any reading reaches it.
constexpr milliseconds readInterval{500};

// Routers send a watch message every 1.2 s, of which some may be lost.
constexpr milliseconds requestLifetime{4000};

// The engine runs on this host, so an answer that takes longer is lost.
constexpr milliseconds readTimeout{400};

} // namespace

PaceReader::PaceReader(EventLoop::Loop &loop, EngineControl &engine)
    : m_loop(loop)
    , m_engine(engine)
    , m_timer(loop, [this] { read(); })
{
}

void PaceReader::request(const std::string &path)
{
    if (!path.starts_with('/')) {
        return;
    }
    const bool wasRequested = m_loop.now() < m_requestedUntil;
    m_path = path;
    m_requestedUntil = m_loop.now() + requestLifetime;
    if (!wasRequested) {
        read();
    }
}

std::optional<double> PaceReader::takePace()
{
    return std::exchange(m_pace, std::nullopt);
}

void PaceReader::restart()
{
    m_pace.reset();
}

void PaceReader::read()
{
    if (m_isReading || m_loop.now() >= m_requestedUntil) {
        return;
    }
    m_isReading = true;
    const auto handle = [this](const Core::Result<std::optional<double>> &pace) {
        handlePace(pace);
    };
    m_engine.readPace(m_path, m_loop.now() + readTimeout, m_lifetime.guard(handle));
}

// An engine that does not answer is reported as silent with its status.
void PaceReader::handlePace(const Core::Result<std::optional<double>> &pace)
{
    m_isReading = false;
    m_pace = pace ? pace.value() : std::nullopt;
    m_timer.startAt(m_loop.now() + readInterval);
}

} // namespace Verbena::Weights
