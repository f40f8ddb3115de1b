#include "workload.h"

#include <algorithm>
#include <cmath>

namespace Verbena::PolicyBench {

namespace {

constexpr double nominalMissFraction = 0.1;
constexpr double zipfExponent = 0.9;
constexpr double hotFraction = 0.3;
constexpr std::size_t hotOrganisation = 2;
constexpr double floodFactor = 10;
constexpr double modestFactor = 0.7;

std::vector<double> cumulativeWeights(std::vector<double> weights)
{
    double sum = 0;
    for (double &weight : weights) {
        sum += weight;
        weight = sum;
    }
    for (double &weight : weights) {
        weight /= sum;
    }
    return weights;
}

std::vector<double> zipf(std::size_t count)
{
    std::vector<double> weights(count);
    for (std::size_t i = 0; i < count; ++i) {
        weights[i] = 1 / std::pow(static_cast<double>(i + 1), zipfExponent);
    }
    return cumulativeWeights(weights);
}

// The flooding and the modest organisation have the demand of the scenario; the others share the remaining load.
std::vector<double> overloadDemand(double load)
{
    std::vector<double> demand = Workload::shares();
    const double flood = std::min(floodFactor * demand[Workload::floodingOrganisation], 0.6 * load);
    const double modest = modestFactor * demand[Workload::modestOrganisation];
    const double others = 1 - demand[Workload::floodingOrganisation] - demand[Workload::modestOrganisation];
    for (double &each : demand) {
        each *= (load - flood - modest) / others;
    }
    demand[Workload::floodingOrganisation] = flood;
    demand[Workload::modestOrganisation] = modest;
    return demand;
}

} // namespace

Deployment Deployment::named(const std::string &name)
{
    using namespace std::chrono_literals;
    if (name == "kalari") {
        return {{16, 4, 2}, {1, 14, 60}, 1, 40, 80ms, 20s, 160, false};
    }
    return {{6, 3, 2}, {2, 12, 6}, 1, 100, 80ms, 10s, 160, true};
}

std::size_t Deployment::promptPieces() const
{
    std::size_t pieces = tailPieces;
    for (const std::size_t level : levelPieces) {
        pieces += level;
    }
    return pieces;
}

double Deployment::capacity(std::size_t workers) const
{
    const double missing = static_cast<double>(tailPieces) + nominalMissFraction * static_cast<double>(promptPieces() - tailPieces);
    return static_cast<double>(workers) / (missing * std::chrono::duration<double>(prefillPerPiece).count());
}

Workload::Workload(const BenchOptions &options, const Deployment &deployment)
    : m_deployment(deployment)
    , m_random(options.seed)
    , m_rate(options.load * deployment.capacity(options.workers))
    , m_organisations(cumulativeWeights(options.scenario == "overload" ? overloadDemand(options.load) : shares()))
{
    // A larger fleet serves more sites, not more popular ones.
    const std::size_t scale = std::max<std::size_t>(1, options.workers / 20);
    for (std::size_t level = 0; level < deployment.levelChoices.size(); ++level) {
        m_levels.push_back(zipf(deployment.levelChoices[level] * (level == 1 ? scale : 1)));
    }
}

Request Workload::next(Core::TimePoint last)
{
    Request request;
    request.id = ++m_lastId;
    request.arrival = last + std::chrono::nanoseconds(static_cast<std::int64_t>(-std::log(1 - uniform()) / m_rate * 1e9));
    request.deadline = request.arrival + m_deployment.deadline;
    request.organisation = sample(m_organisations);
    request.answerTokens = static_cast<std::uint32_t>((0.5 + uniform()) * m_deployment.answerTokens);
    const bool isHot = m_isShifted && uniform() < hotFraction;
    request.organisation = isHot ? hotOrganisation : request.organisation;
    std::vector<std::uint32_t> pieces;
    for (std::size_t level = 0; level < m_levels.size(); ++level) {
        const bool isPinned = isHot && level < 2;
        const std::size_t choice = isPinned ? m_levels[level].size() - 1 : sample(m_levels[level]);
        for (std::size_t piece = 0; piece < m_deployment.levelPieces[level]; ++piece) {
            pieces.push_back(static_cast<std::uint32_t>(choice * 64 + piece));
        }
    }
    for (std::size_t piece = 0; piece < m_deployment.tailPieces; ++piece) {
        pieces.push_back(static_cast<std::uint32_t>(request.id * 64 + piece));
    }
    const auto chain = Decisions::PrefixChain::fromTokens({organisationName(request.organisation), {"model", "", "1"}}, pieces, 1);
    request.keys = chain.keys();
    request.root = chain.root();
    return request;
}

void Workload::shiftHotPrefix()
{
    m_isShifted = true;
}

const std::vector<double> &Workload::shares()
{
    static const std::vector<double> shares{0.3, 0.24, 0.15, 0.1, 0.08, 0.06, 0.04, 0.03};
    return shares;
}

std::string Workload::organisationName(std::size_t organisation)
{
    return "organisation" + std::to_string(organisation);
}

double Workload::uniform()
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53;
}

std::size_t Workload::sample(const std::vector<double> &cumulative)
{
    const auto found = std::upper_bound(cumulative.begin(), cumulative.end(), uniform());
    return std::min<std::size_t>(static_cast<std::size_t>(found - cumulative.begin()), cumulative.size() - 1);
}

} // namespace Verbena::PolicyBench
