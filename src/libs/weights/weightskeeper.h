#pragma once

#include "enginecontrol.h"
#include "newspublisher.h"
#include "orderleaseclient.h"
#include "pacereader.h"

#include <core/lifetime.h>
#include <decisions/relay/weightsschedule.h>
#include <eventloop/timer.h>
#include <relay/cachemonitor.h>
#include <relay/deploymentdecoder.h>
#include <store/storeclockestimate.h>
#include <store/tablefollower.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Verbena::Weights {

/// \brief Settings of a WeightsKeeper.
struct WeightsSettings
{
    std::string host; ///< Name of this host, which the orders contain.
    std::string engineAddress; ///< Address of the engine in the register.
    Decisions::RolloutOptions pace;
    Decisions::OrderLeaseOptions lease;
    std::chrono::milliseconds declarationTime{2000}; ///< Time within which a change of the declarations of operators has to be known.
};

/// \brief Orders the engine on this host to load the newest weights.
///
/// While routers receive nothing from this process, one of them may order the engine instead. A row of the store names the process that gives the orders, and
/// its revision is their fencing number. This process acquires the row again when it has an order to give.
///
/// Routers that watch the engine send the announced weights and the engine's rollout slot. The store is followed only while no router does.
class WeightsKeeper : private Store::RowConsumer
{
public:
    WeightsKeeper(EventLoop::Loop &loop,
        const WeightsSettings &settings,
        Store::RowSource &rows,
        Store::RowStore &orderRows,
        const Relay::DeploymentDecoder &decoder,
        EngineControl &engine,
        Relay::CacheChangeSource &caches,
        NewsPublisher &news);
    ~WeightsKeeper() override;

    WeightsKeeper(const WeightsKeeper &) = delete;
    WeightsKeeper &operator=(const WeightsKeeper &) = delete;

private:
    /// The newest weights of a model and the time from which this engine may load them.
    struct Target
    {
        std::uint64_t version = 0;
        std::uint64_t revision = 0; ///< Revision of the row that names the version; 0 if only routers have named it.
        Core::TimePoint namedAt{}; ///< Time at which this process learned of the version.
        Core::TimePoint loadTime = Core::TimePoint::max();
        bool isOrdered = false; ///< Whether the engine has accepted the order to load them.
    };

    void replaceRows(const std::string &table, const Store::RowPage &page) override;
    void changeRows(const std::string &table, const Store::RowPage &page) override;
    void sourceLost(const std::string &table, const Core::Error &error) override;
    void sourceRegained(const std::string &table) override;
    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override;
    void staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer) override;
    void applyDeclarations(const std::string &table, const Store::RowPage &page, const Decisions::WeightsAnnouncement &announcement);
    Decisions::WeightsAnnouncement withCommitTime(const Decisions::WeightsAnnouncement &announcement, const Store::TableRow &row) const;
    void handleWatch(const verbena::wire::EngineWatch &watch);
    void followStoreIfUnwatched();
    void applySlot(const verbena::wire::WeightsTurn &told);
    bool admit(const std::string &model);
    bool isServed(const std::string &model) const;
    bool applyAnnouncement(const Relay::AnnouncedWeights &named);
    bool applyRow(const Relay::AnnouncedWeights &named, std::uint64_t revision);
    bool withdrawTarget(const Relay::AnnouncedWeights &named);
    void checkTarget(const std::string &model, std::uint64_t version);
    void handleDeclaredTarget(const Relay::AnnouncedWeights &told, const Store::RowPage &page);
    bool isOutOfDate(const std::string &model, std::uint64_t version) const;
    bool isPending(const std::string &model, const Target &target) const;
    void plan(const std::string &model, const Decisions::WeightsAnnouncement &announcement);
    void planSlot(const std::string &model, const Decisions::WeightsAnnouncement &announcement, const Decisions::RolloutSlot &turn);
    void planWithRegister(const std::string &model, const Decisions::WeightsAnnouncement &announcement, const Core::Result<Store::RowPage> &page);
    void requestReport();
    void handleReport(const Core::Result<EngineReport> &report);
    void checkIncarnation(const EngineReport &report);
    void publish(const EngineReport &report, bool isSilent);
    void recordSilence(bool isSilent, const Core::Error *error);
    Core::TimePoint orderIfDue(const EngineReport &report);
    void order(const std::string &model, std::uint64_t version, std::uint64_t expectedOrders);
    /// \brief Returns whether a request to the engine, or to the store for the lease, is pending.
    bool isRequestPending() const;
    void scheduleReport(Core::TimePoint time);

    EventLoop::Loop &m_loop;
    WeightsSettings m_settings;
    Store::RowSource &m_rows;
    const Relay::DeploymentDecoder &m_decoder;
    EngineControl &m_engine;
    NewsPublisher &m_news;
    Relay::CacheMonitor m_cache;
    PaceReader m_pace;
    std::uint64_t m_publishedRevision = 0; ///< Published revision of the cache index.
    Core::TimePoint m_wholeCachePublishedAt{}; ///< Time of the last publication of the whole cache index.
    EventLoop::Timer m_timer;
    std::map<std::string, Target> m_targets; ///< By model.
    Core::TimePoint m_nextTargetCheck{};
    std::map<std::string, std::uint64_t> m_inPlace; ///< Loaded version by model.
    OrderLeaseClient m_lease;
    bool m_isRequestPending = false; ///< Whether a request to the engine is pending.
    bool m_isSilent = false;
    EngineReport m_lastReport;
    Store::StoreClockEstimate m_storeClock;
    Core::TimePoint m_watchedUntil; ///< Time until which routers count as watching.
    EventLoop::Timer m_watchTimer;
    std::unique_ptr<Store::TableFollower> m_declarations; ///< Follower of the store while no router watches; else null.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
