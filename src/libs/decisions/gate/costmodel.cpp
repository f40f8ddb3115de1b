#include "costmodel.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr double smoothingFactor = 0.1; // Weight of a new sample in the moving averages.
constexpr std::uint32_t minimumPrefillTokens = 64; // With fewer tokens, the overhead hides the cost of a token.
constexpr std::chrono::milliseconds minimumQueuedWork{10}; // Shorter queues are not sampled.

double seconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::chrono::microseconds microseconds(double secondsCount)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(secondsCount));
}

void updateEstimate(double &value, double observed)
{
    value += smoothingFactor * (observed - value);
}

} // namespace

CostModel::CostModel(const CostModelOptions &options)
    : m_options(options)
    , m_prefillSecondsPerToken(seconds(options.initialPrefillPerPiece) / std::max(options.pieceTokens, 1U))
    , m_tokenIntervalSeconds(seconds(options.initialTokenInterval))
    , m_decodeSecondsPerToken(seconds(options.initialTokenInterval))
{
}

void CostModel::addPrefill(std::uint32_t missingTokens, std::chrono::microseconds duration)
{
    if (missingTokens >= minimumPrefillTokens) {
        updateEstimate(m_prefillSecondsPerToken, std::max(0.0, seconds(duration - m_options.requestOverhead)) / missingTokens);
    }
}

void CostModel::addTokenInterval(std::chrono::microseconds interval, std::uint32_t running)
{
    updateEstimate(m_tokenIntervalSeconds, seconds(interval));
    updateEstimate(m_decodeSecondsPerToken, seconds(interval) / std::max(running, 1U));
}

void CostModel::addAnswerLength(std::uint32_t tokens, std::uint32_t maximumTokens)
{
    if (maximumTokens > 0) {
        updateEstimate(m_lengthRatio, std::min(1.0, static_cast<double>(tokens) / maximumTokens));
    }
}

void CostModel::addQueueWait(std::chrono::microseconds queuedWork, std::chrono::microseconds duration)
{
    if (queuedWork >= minimumQueuedWork) {
        m_decayedWait += seconds(duration) - smoothingFactor * m_decayedWait;
        m_decayedQueuedWork += seconds(queuedWork) - smoothingFactor * m_decayedQueuedWork;
    }
}

std::chrono::microseconds CostModel::prefillPerPiece() const
{
    return microseconds(m_prefillSecondsPerToken * m_options.pieceTokens);
}

std::chrono::microseconds CostModel::prefillTime(std::uint32_t missingTokens) const
{
    return m_options.requestOverhead + microseconds(m_prefillSecondsPerToken * missingTokens);
}

std::chrono::microseconds CostModel::expectedDecodeWork(std::uint32_t maximumTokens) const
{
    return microseconds(m_decodeSecondsPerToken * m_lengthRatio * maximumTokens);
}

std::chrono::microseconds CostModel::expectedAnswerDuration(std::uint32_t maximumTokens) const
{
    return microseconds(m_tokenIntervalSeconds * m_lengthRatio * maximumTokens);
}

std::chrono::microseconds CostModel::decodeWorkForTokens(std::uint32_t tokens) const
{
    return microseconds(m_decodeSecondsPerToken * tokens);
}

std::uint32_t CostModel::missingTokens(std::uint32_t promptTokens, std::uint32_t warmPieces) const
{
    const std::uint64_t warm = std::uint64_t(warmPieces) * m_options.pieceTokens;
    return warm >= promptTokens ? 0 : promptTokens - static_cast<std::uint32_t>(warm);
}

std::chrono::microseconds CostModel::queueWait(std::chrono::microseconds queuedWork) const
{
    return microseconds(seconds(queuedWork) * m_decayedWait / m_decayedQueuedWork);
}

std::uint32_t CostModel::pieceTokens() const
{
    return m_options.pieceTokens;
}

} // namespace Verbena::Decisions
