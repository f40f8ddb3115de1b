#pragma once

#include "deploymentdecoder.h"
#include "relaytask.h"

#include <core/lifetime.h>
#include <decisions/relay/weightsrecord.h>
#include <eventloop/timer.h>
#include <store/rowsource.h>
#include <store/storeclockestimate.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Tells a relay which weights were named, and how long ago that truly was.
///
/// The age of a naming is counted from its commit, by the store's clock, and never from the moment at which this process learned of it: a process that starts,
/// was suspended or was cut off would grant old weights that time once more. Who sees a naming as it is made writes its date into the store; who
/// starts later reads it there. Old weights whose age nobody can tell are not used.
class WeightsNamings
{
public:
    /// \brief \a records holds the dates; \a longestUse is how long old weights may be used.
    WeightsNamings(EventLoop::Loop &loop, Store::RowStore &records, RelayTask &relay, std::chrono::milliseconds longestUse);
    ~WeightsNamings();

    WeightsNamings(const WeightsNamings &) = delete;
    WeightsNamings &operator=(const WeightsNamings &) = delete;

    /// \brief A reading of the store's clock.
    void noteClock(const Store::StoreReading &reading);

    /// \brief \a row names \a weights; \a how says for the log how that was learned.
    void take(const NamedWeights &weights, const Store::TableRow &row, const std::string &how);

private:
    // What is still to be done about a model's record.
    enum class Step {
        Nothing,
        Read,
        Write,
    };

    struct Model
    {
        std::uint64_t newest = 0;
        Decisions::WeightsRecord record;
        std::uint64_t rowRevision = 0; ///< Of the record in the store; 0 while none is known.
        Step step = Step::Nothing;
        bool isAsking = false;
        bool isAnnounced = true;
        Core::TimePoint nextTry{}; ///< Of the step.
        std::uint32_t tries = 0;
        Core::TimePoint giveUpTime{}; ///< By then the weights before are too old in any case.
    };

    std::optional<std::chrono::milliseconds> age(const Model &model) const;
    void tellFleet(const std::string &name, const Model &model);
    void announce(Model &model);
    void proceed();
    void read(const std::string &name);
    void takeRecord(const std::string &name, const Core::Result<std::optional<Store::TableRow>> &row);
    Decisions::WeightsRecord mergeRow(const std::string &name, Model &model, const Store::TableRow &row);
    void write(const std::string &name);
    void takeCommit(const std::string &name, std::uint64_t version, const Store::CommitAnswer &answer);

    EventLoop::Loop &m_loop;
    Store::RowStore &m_records;
    RelayTask &m_relay;
    std::chrono::milliseconds m_longestUse; ///< A bound of the settings.
    Store::StoreClockEstimate m_clock;
    std::map<std::string, Model> m_models; ///< By name.
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
