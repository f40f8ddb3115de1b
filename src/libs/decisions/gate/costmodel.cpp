#include "costmodel.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr double learningRate = 0.1;
constexpr std::uint32_t fewestTokensToLearnFrom = 64; // Below, overhead hides the cost of a token.
constexpr std::chrono::milliseconds shortestQueueToLearnFrom{10};

double seconds(std::chrono::microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

std::chrono::microseconds microseconds(double secondsCount)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(secondsCount));
}

void learn(double &value, double observed)
{
    value += learningRate * (observed - value);
}

} // namespace

CostModel::CostModel(const CostModelOptions &options)
    : m_options(options)
    , m_prefillSecondsPerToken(seconds(options.firstPrefillPerPiece) / std::max(options.pieceTokens, 1U))
    , m_tokenInterval(seconds(options.firstTokenInterval))
    , m_decodeSecondsPerToken(seconds(options.firstTokenInterval))
{
}

void CostModel::notePrefill(std::uint32_t missingTokens, std::chrono::microseconds span)
{
    if (missingTokens >= fewestTokensToLearnFrom) {
        learn(m_prefillSecondsPerToken, std::max(0.0, seconds(span - m_options.requestOverhead)) / missingTokens);
    }
}

void CostModel::noteTokenInterval(std::chrono::microseconds interval, std::uint32_t running)
{
    learn(m_tokenInterval, seconds(interval));
    learn(m_decodeSecondsPerToken, seconds(interval) / std::max(running, 1U));
}

void CostModel::noteAnswerLength(std::uint32_t tokens, std::uint32_t maximumTokens)
{
    if (maximumTokens > 0) {
        learn(m_lengthRatio, std::min(1.0, static_cast<double>(tokens) / maximumTokens));
    }
}

void CostModel::noteQueueWait(std::chrono::microseconds queuedWork, std::chrono::microseconds span)
{
    if (queuedWork >= shortestQueueToLearnFrom) {
        m_waited += seconds(span) - learningRate * m_waited;
        m_queued += seconds(queuedWork) - learningRate * m_queued;
    }
}

std::chrono::microseconds CostModel::prefillPerPiece() const
{
    return microseconds(m_prefillSecondsPerToken * m_options.pieceTokens);
}

std::chrono::microseconds CostModel::prefill(std::uint32_t missingTokens) const
{
    return m_options.requestOverhead + microseconds(m_prefillSecondsPerToken * missingTokens);
}

std::chrono::microseconds CostModel::decodeWork(std::uint32_t maximumTokens) const
{
    return microseconds(m_decodeSecondsPerToken * m_lengthRatio * maximumTokens);
}

std::chrono::microseconds CostModel::answerSpan(std::uint32_t maximumTokens) const
{
    return microseconds(m_tokenInterval * m_lengthRatio * maximumTokens);
}

std::chrono::microseconds CostModel::decodeWorkOf(std::uint32_t tokens) const
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
    return microseconds(seconds(queuedWork) * m_waited / m_queued);
}

std::uint32_t CostModel::pieceTokens() const
{
    return m_options.pieceTokens;
}

} // namespace Verbena::Decisions
