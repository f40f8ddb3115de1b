#pragma once

#include <core/time.h>

#include <cstdint>

namespace Verbena::Decisions {

/// \brief What is assumed before anything has been measured.
struct CostModelOptions
{
    std::uint32_t pieceTokens = 2048;
    std::chrono::microseconds initialPrefillPerPiece{150000};
    std::chrono::microseconds initialTokenInterval{20000}; ///< Between two tokens of one answer.
    std::chrono::microseconds requestOverhead{2000}; ///< Of a prompt that is wholly cached.
};

/// \brief Learns from its runs what an engine's work costs.
class CostModel
{
public:
    explicit CostModel(const CostModelOptions &options = {});

    /// \brief A prompt with \a missingTokens not in the cache took \a span to process.
    void addPrefill(std::uint32_t missingTokens, std::chrono::microseconds duration);

    /// \brief A token came \a interval after the one before, with \a running answers in the engine.
    void addTokenInterval(std::chrono::microseconds interval, std::uint32_t running);

    /// \brief An answer that might have had \a maximumTokens had \a tokens.
    void addAnswerLength(std::uint32_t tokens, std::uint32_t maximumTokens);

    /// \brief A request began after \a span, with \a queuedWork before it when it came.
    void addQueueWait(std::chrono::microseconds queuedWork, std::chrono::microseconds duration);

    std::chrono::microseconds prefillPerPiece() const;

    /// \brief Time to process a prompt of which \a missingTokens are not in the cache.
    std::chrono::microseconds prefillTime(std::uint32_t missingTokens) const;

    /// \brief Engine time that one answer uses beside others, by the length that answers have come to have.
    std::chrono::microseconds expectedDecodeWork(std::uint32_t maximumTokens) const;

    /// \brief Time from the first token to the last, by the length that answers have come to have.
    std::chrono::microseconds expectedAnswerDuration(std::uint32_t maximumTokens) const;

    /// \brief Engine time of an answer of just \a tokens.
    std::chrono::microseconds decodeWorkForTokens(std::uint32_t tokens) const;

    /// \brief Prompt tokens left when \a warmPieces of \a promptTokens are cached.
    std::uint32_t missingTokens(std::uint32_t promptTokens, std::uint32_t warmPieces) const;

    /// \brief Time until \a queuedWork has begun: less than its sum, as far as answers run beside each other.
    std::chrono::microseconds queueWait(std::chrono::microseconds queuedWork) const;

    std::uint32_t pieceTokens() const;

private:
    CostModelOptions m_options;
    double m_prefillSecondsPerToken;
    double m_secondsPerToken; ///< Seconds between two tokens of an answer, at the present batch.
    double m_engineSecondsPerToken; ///< Of engine time: interval divided by the answers that share it.
    double m_totalWait = 1.0; ///< Seconds, older ones counting less.
    double m_totalQueuedWork = 1.0; ///< Seconds of work before those that waited.
    double m_lengthRatio = 0.0; ///< Tokens of answers over their maximum. While unknown, length is held against nobody.
};

} // namespace Verbena::Decisions
