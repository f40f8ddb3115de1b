#pragma once

#include "loadrequest.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Load {

/// \brief Whose traffic is sent.
enum class WorkloadKind {
    Kessick, ///< Nested prefixes register, site, wall.
    Kalari, ///< Nested prefixes rulebook, district, referee; the rulebook's text is the same for all organisations.
};

/// \brief What the requests of a workload look like.
struct WorkloadOptions
{
    WorkloadKind kind = WorkloadKind::Kessick;
    std::uint64_t seed = 1;
    std::size_t pieceBytes = 8192; ///< Prefixes are whole multiples of this.
    std::uint32_t answerTokens = 24;
    double serviceShare = 0.1; ///< Fraction of plain service calls.
    double chatShare = 0.2; ///< Fraction of completions that come as chat.
    double tokenShare = 0.05; ///< Fraction of completions that come as token ids.
    double wholeShare = 0.1; ///< Fraction of completions that are not streamed.
};

/// \brief Makes requests in random order by a seed; the same options give the same requests.
class Workload
{
public:
    explicit Workload(const WorkloadOptions &options);

    /// \brief Names of the organisations, a few of which send most requests.
    static std::vector<std::string> organisations(WorkloadKind kind);

    /// \brief The API key that \a organisation sends.
    static std::string apiKey(const std::string &organisation);

    static std::string modelName(WorkloadKind kind);
    static std::string serviceName(WorkloadKind kind);
    static std::string serviceCallName(WorkloadKind kind);

    LoadRequest next();

private:
    struct Level
    {
        const char *name;
        std::size_t pieces; ///< Length of its text.
        std::size_t siblings; ///< Below each entry of the level above.
    };

    static std::vector<Level> levels(WorkloadKind kind);
    bool hits(double share);
    std::size_t zipf(std::size_t count);
    std::string prefix(std::size_t organisation);
    std::string levelText(const std::string &path, std::size_t bytes) const;
    LoadRequest serviceCall(std::size_t organisation);
    LoadRequest completion(std::size_t organisation);
    nlohmann::json commonBody(const LoadRequest &request) const;
    void fillText(LoadRequest &request, const std::string &prompt, RequestKind kind) const;
    void fillTokens(LoadRequest &request, const std::string &prompt) const;

    WorkloadOptions m_options;
    std::vector<std::string> m_organisations;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_chooseOrganisation;
    std::uint64_t m_count = 0;
};

} // namespace Verbena::Load
