#pragma once

#include "loadrequest.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Load {

/// \brief Deployment whose traffic is simulated.
enum class WorkloadKind {
    Kessick, ///< Prompts have the nested prefixes register, site and wall.
    Kalari, ///< Prompts have the nested prefixes rulebook, district and referee; all organisations share the text of the rulebook.
};

/// \brief Options of a workload.
struct WorkloadOptions
{
    WorkloadKind kind = WorkloadKind::Kessick;
    std::uint64_t seed = 1;
    std::size_t pieceBytes = 8192; ///< Size of a piece; the lengths of prefixes are multiples of it.
    std::uint32_t answerTokens = 24; ///< Number of tokens in each answer to a completion.
    double serviceShare = 0.1; ///< Fraction of plain service calls.
    double chatShare = 0.2; ///< Fraction of completions that are sent as chat completions.
    double tokenShare = 0.05; ///< Fraction of completions whose prompt is sent as token ids.
    double nonStreamedShare = 0.1; ///< Fraction of completions that are not streamed.
};

/// \brief Generates random requests from a seed. The same options give the same requests.
class Workload
{
public:
    explicit Workload(const WorkloadOptions &options);

    /// \brief Returns the names of the organisations. A few of them send most of the requests.
    static std::vector<std::string> organisations(WorkloadKind kind);

    /// \brief Returns the API key that \a organisation uses.
    static std::string apiKey(const std::string &organisation);

    static std::string modelName(WorkloadKind kind);
    static std::string serviceName(WorkloadKind kind);
    static std::string serviceCallName(WorkloadKind kind);

    /// \brief Returns the next request.
    LoadRequest next();

private:
    struct Level
    {
        const char *name;
        std::size_t pieces; ///< Length of the text of an entry, in pieces.
        std::size_t siblings; ///< Number of entries below each entry of the level above.
    };

    static std::vector<Level> levels(WorkloadKind kind);
    bool randomChance(double share);
    std::size_t sampleZipf(std::size_t count);
    std::string prefix(std::size_t organisation);
    std::string levelText(const std::string &path, std::size_t bytes) const;
    LoadRequest serviceCall(std::size_t organisation);
    LoadRequest completion(std::size_t organisation);
    nlohmann::json commonBody(const LoadRequest &request) const;
    void setTextPrompt(LoadRequest &request, const std::string &prompt, RequestKind kind) const;
    void setTokenPrompt(LoadRequest &request, const std::string &prompt) const;

    WorkloadOptions m_options;
    std::vector<std::string> m_organisations;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_chooseOrganisation;
    std::uint64_t m_count = 0;
};

} // namespace Verbena::Load
