#pragma once

#include <core/time.h>

#include <cstdint>

namespace Verbena::Decisions {

/// \brief Initial estimates and constants of a CostModel.
struct CostModelOptions
{
    std::uint32_t pieceTokens = 2048; ///< Number of tokens in one piece of a prompt.
    std::chrono::microseconds initialPrefillPerPiece{150000}; ///< Initial estimate of the time to process one uncached piece.
    std::chrono::microseconds initialTokenInterval{20000}; ///< Initial estimate of the time between two tokens of one answer.
    std::chrono::microseconds requestOverhead{2000}; ///< Processing time of a prompt that is completely cached.
};

/// \brief Estimates the engine time of requests from samples of earlier runs.
class CostModel
{
public:
    explicit CostModel(const CostModelOptions &options = {});

    /// \brief Adds a sample: a prompt with \a missingTokens outside the cache took \a duration to process.
    void addPrefill(std::uint32_t missingTokens, std::chrono::microseconds duration);

    /// \brief Adds a sample: a token arrived \a interval after the previous one of its answer, while the engine had \a running runs.
    void addTokenInterval(std::chrono::microseconds interval, std::uint32_t running);

    /// \brief Adds a sample: an answer that was limited to \a maximumTokens had \a tokens.
    void addAnswerLength(std::uint32_t tokens, std::uint32_t maximumTokens);

    /// \brief Adds a sample: a request waited for \a duration with \a queuedWork already queued on its arrival.
    void addQueueWait(std::chrono::microseconds queuedWork, std::chrono::microseconds duration);

    /// \brief Returns the estimated time to process one uncached piece of a prompt.
    std::chrono::microseconds prefillPerPiece() const;

    /// \brief Returns the estimated time to process a prompt with \a missingTokens outside the cache.
    std::chrono::microseconds prefillTime(std::uint32_t missingTokens) const;

    /// \brief Returns the engine time that one answer with a limit of \a maximumTokens is expected to use.
    ///
    /// The length is estimated from earlier answers; time that several answers share in a batch is divided among them.
    std::chrono::microseconds expectedDecodeWork(std::uint32_t maximumTokens) const;

    /// \brief Returns the expected time from the first token to the last, with the length estimated from earlier answers.
    std::chrono::microseconds expectedAnswerDuration(std::uint32_t maximumTokens) const;

    /// \brief Returns the engine time of an answer of exactly \a tokens.
    std::chrono::microseconds decodeWorkForTokens(std::uint32_t tokens) const;

    /// \brief Returns the number of prompt tokens that remain to be processed when \a warmPieces pieces of \a promptTokens are cached.
    std::uint32_t missingTokens(std::uint32_t promptTokens, std::uint32_t warmPieces) const;

    /// \brief Returns the expected time until all of \a queuedWork has started.
    ///
    /// This is less than the sum of the work when answers run in parallel.
    std::chrono::microseconds queueWait(std::chrono::microseconds queuedWork) const;

    std::uint32_t pieceTokens() const;

private:
    CostModelOptions m_options;
    double m_prefillSecondsPerToken;
    double m_tokenIntervalSeconds; ///< Seconds between two tokens of an answer at the current batch size.
    double m_decodeSecondsPerToken; ///< Engine seconds per token: the interval divided by the number of answers that share it.
    double m_decayedWait = 1.0; ///< Decayed sum of measured waits in seconds.
    double m_decayedQueuedWork = 1.0; ///< Decayed sum of the work queued ahead of these waits in seconds.
    double m_lengthRatio = 0.0; ///< Average answer length divided by its limit; 0 before the first sample, so that an unknown length refuses no request.
};

} // namespace Verbena::Decisions
