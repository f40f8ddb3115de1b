#pragma once

#include "benchoptions.h"

#include <core/time.h>
#include <decisions/routing/prefixchain.h>

#include <random>
#include <string>
#include <vector>

namespace Verbena::PolicyBench {

/// \brief Sizes of a deployment's prompts, in pieces of pieceTokens, and of its engines.
struct Deployment
{
    static constexpr std::uint32_t pieceTokens = 2000;

    std::vector<std::size_t> levelPieces; ///< Shallow to deep: register, site, wall; rulebook, district, referee.
    std::vector<std::size_t> levelChoices; ///< Prefixes of a level within one of the level above, at 20 workers.
    std::size_t tailPieces = 1; ///< At the end of a prompt, of no other request.
    std::uint32_t answerTokens = 100; ///< On average.
    std::chrono::microseconds prefillPerPiece{0};
    std::chrono::microseconds deadline{0};
    std::size_t cachePieces = 160;
    bool isTailTimeFirst = true; ///< Otherwise recomputation counts most.

    static Deployment named(const std::string &name);

    std::size_t promptPieces() const;

    /// \brief Requests per second that \a workers can serve if one piece in ten of the shared prefixes is missing.
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

/// \brief Open-loop arrivals of eight organisations over nested prefixes with Zipf heat.
class Workload
{
public:
    static constexpr std::size_t floodingOrganisation = 4; ///< In overload: asks for ten times its share.
    static constexpr std::size_t modestOrganisation = 5; ///< In overload: asks for 0.7 of its share.

    Workload(const BenchOptions &options, const Deployment &deployment);

    /// \brief The next request after \a last.
    Request next(Core::TimePoint last);

    /// \brief From now on three requests in ten go to one prefix that was cold before.
    void shiftHeat();

    /// \brief Parts of the whole that the organisations were assigned.
    static const std::vector<double> &shares();

    static std::string organisationName(std::size_t organisation);

private:
    double uniform();
    std::size_t drawFrom(const std::vector<double> &cumulative);

    Deployment m_deployment;
    std::mt19937_64 m_random;
    double m_rate;
    std::vector<double> m_organisations; ///< Cumulative.
    std::vector<std::vector<double>> m_levels; ///< Cumulative, for each level.
    std::uint64_t m_lastId = 0;
    bool m_isShifted = false;
};

} // namespace Verbena::PolicyBench
