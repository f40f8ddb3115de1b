#pragma once

#include "servedmodels.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief Where news of a backend server's weights come from.
enum class WeightsSource {
    Entry, ///< Its entry in the register, which is written only now and then.
    Report, ///< The report of its agent, which lags behind.
    Answer, ///< An answer of the server itself.
};

/// \brief What is known of news besides what they say.
struct WeightsEvidence
{
    WeightsSource source = WeightsSource::Answer;
    std::uint64_t askedAfter = 0; ///< Number of the last news that were known when the server was asked; 0 if that is not known.
};

/// \brief The weights that a backend server is believed to run, from its entry, the reports of its agent and its answers.
///
/// Versions rise, so a higher one counts whoever names it. A lower one counts only if it is certainly later than what is believed: the next entry or
/// two further reports if the higher one came from such, or the answer to a request that was sent after the higher one was learned.
class WeightsBelief
{
public:
    /// \brief Handles that the entry now names \a models; others are no longer run. \a number is that of these news.
    void applyEntry(const ServedModels &models, std::uint64_t number);

    /// \brief Handles that \a version of \a model is run, if the entry names the model; returns whether that changed what is believed.
    bool apply(const std::string &model, std::uint64_t version, const WeightsEvidence &evidence, std::uint64_t number);

    /// \brief Handles a restart: nothing that was said before is later than the next entry.
    void handleRestart();

    const ServedModels &models() const;

private:
    // The news from which the believed version of a model comes.
    struct Origin
    {
        WeightsSource source = WeightsSource::Entry;
        std::uint64_t number = 0;
        std::optional<std::uint64_t> lowerReport; ///< Lower version that the last report named; nothing if it named none.
    };

    static bool isLater(std::uint64_t version, const WeightsEvidence &evidence, Origin &origin);

    ServedModels m_models;
    std::map<std::string, Origin, std::less<>> m_origins; ///< By model.
};

} // namespace Verbena::Decisions
