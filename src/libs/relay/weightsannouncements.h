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

/// \brief Reports announced weights to a relay with the time that has passed since each announcement.
///
/// The age of an announcement is measured from its commit by the store's clock, not from the time at which this process received it: otherwise a process that
/// starts, was suspended or was disconnected would allow old weights for that time again. A process that receives an announcement as it is made writes its
/// time into the store, and processes that start later read it there. Old weights of unknown age are not used.
class WeightsAnnouncements
{
public:
    /// \brief Stores the times in \a records. \a maximumUseTime is the time for which old weights may be used.
    WeightsAnnouncements(EventLoop::Loop &loop, Store::RowStore &records, RelayTask &relay, std::chrono::milliseconds maximumUseTime);
    ~WeightsAnnouncements();

    WeightsAnnouncements(const WeightsAnnouncements &) = delete;
    WeightsAnnouncements &operator=(const WeightsAnnouncements &) = delete;

    /// \brief Updates the estimate of the store's clock with \a reading.
    void addClockReading(const Store::StoreReading &reading);

    /// \brief Handles that \a row announces \a weights; \a source is logged as the way in which the row was received.
    void handleAnnouncement(const AnnouncedWeights &weights, const Store::TableRow &row, const std::string &source);

private:
    // Next step for a model's record.
    enum class Step {
        Nothing,
        Read,
        Write,
    };

    struct Model
    {
        std::uint64_t newest = 0; ///< Version that the latest known row names.
        std::uint64_t revision = 0; ///< Revision of that row.
        std::uint64_t previous = 0; ///< Newest version of which an earlier row is known, up to the newest.
        Decisions::WeightsRecord record;
        std::uint64_t rowRevision = 0; ///< Revision of the record in the store; 0 while there is no known record.
        Step step = Step::Nothing;
        bool isRequestPending = false;
        bool isAnnounced = true;
        Core::TimePoint nextTry{}; ///< Time of the next attempt at the step.
        std::uint32_t tries = 0;
        Core::TimePoint expiryTime{}; ///< Time from which the previous weights are too old in any case.
    };

    std::uint64_t withdraw(const AnnouncedWeights &weights, Model &model);
    std::optional<std::chrono::milliseconds> age(const Model &model) const;
    void updateFleet(const std::string &name, const Model &model);
    void announce(Model &model);
    void runPendingSteps();
    void read(const std::string &name);
    void handleRecord(const std::string &name, const Core::Result<std::optional<Store::TableRow>> &row);
    Decisions::WeightsRecord mergeRow(const std::string &name, Model &model, const Store::TableRow &row);
    void write(const std::string &name);
    void handleCommitAnswer(const std::string &name, std::uint64_t version, const Store::CommitAnswer &answer);

    EventLoop::Loop &m_loop;
    Store::RowStore &m_records;
    RelayTask &m_relay;
    std::chrono::milliseconds m_maximumUseTime; ///< Time for which old weights may be used, from the settings.
    Store::StoreClockEstimate m_clock;
    std::map<std::string, Model> m_models; ///< Models by name.
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
