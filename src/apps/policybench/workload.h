#pragma once

#include "benchoptions.h"

#include <core/time.h>
#include <decisions/routing/prefixchain.h>

#include <random>
#include <string>
#include <vector>

namespace Verbena::PolicyBench {

/// \brief Parameters of a deployment: sizes of its prompts, in pieces of pieceTokens tokens, and of its engines.
struct Deployment
{
    static constexpr std::uint32_t pieceTokens = 2000;

    std::vector<std::size_t> levelPieces; ///< Pieces of each level from shallow to deep: register, site, wall; or rulebook, district, referee.
    std::vector<std::size_t> levelChoices; ///< Number of prefixes below each prefix of the level above, for 20 workers.
    std::size_t tailPieces = 1; ///< Pieces at the end of a prompt that are unique to the request.
    std::uint32_t answerTokens = 100; ///< Mean number of tokens in an answer.
    std::chrono::microseconds prefillPerPiece{0};
    std::chrono::microseconds deadline{0}; ///< Time from the arrival of a request to its deadline.
    std::size_t cachePieces = 160; ///< Capacity of an engine's prefix cache.
    bool isTailLatencyFirst = true; ///< Whether routing minimises tail latency first; otherwise it minimises recomputation first.

    /// \brief Returns the deployment \a name.
    static Deployment named(const std::string &name);

    /// \brief Returns the number of pieces in a prompt.
    std::size_t promptPieces() const;

    /// \brief Returns the requests per second that \a workers can serve if one in ten pieces of the shared prefixes is not cached.
    double capacity(std::size_t workers) const;
};

/// \brief One request of the workload.
struct Request
{
    std::uint64_t id = 0;
    std::size_t organisation = 0;
    std::vector<Decisions::PrefixKey> keys;
    Decisions::PrefixKey root{};
    std::uint32_t answerTokens = 0;
    Core::TimePoint arrival;
    Core::TimePoint deadline;
};

/// \brief Generates open-loop arrivals of eight organisations over nested prefixes with Zipf-distributed popularity.
class Workload
{
public:
    static constexpr std::size_t floodingOrganisation = 4; ///< In the overload scenario, it requests ten times its share.
    static constexpr std::size_t modestOrganisation = 5; ///< In the overload scenario, it requests 0.7 of its share.

    Workload(const BenchOptions &options, const Deployment &deployment);

    /// \brief Returns the next request after the arrival time \a last.
    Request next(Core::TimePoint last);

    /// \brief Sends three in ten of the following requests to one prefix that was rarely used before.
    void shiftHotPrefix();

    /// \brief Returns the fractions of the capacity that are assigned to the organisations.
    static const std::vector<double> &shares();

    static std::string organisationName(std::size_t organisation);

private:
    double uniform();
    std::size_t sample(const std::vector<double> &cumulative);

    Deployment m_deployment;
    std::mt19937_64 m_random;
    double m_rate;
    std::vector<double> m_organisations; ///< Cumulative demand of the organisations.
    std::vector<std::vector<double>> m_levels; ///< Cumulative popularity of the choices of each level.
    std::uint64_t m_lastId = 0;
    bool m_isShifted = false;
};

} // namespace Verbena::PolicyBench
