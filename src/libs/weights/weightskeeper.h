#pragma once

#include "enginecontrol.h"
#include "newspublisher.h"

#include <core/lifetime.h>
#include <decisions/relay/orderlease.h>
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

/// \brief Who keeps which engine's weights.
struct WeightsSettings
{
    std::string host; ///< Name of this host, which signs the orders.
    std::string engineAddress; ///< As the register names it.
    Decisions::RolloutOptions pace;
    Decisions::OrderLeaseOptions lease;
    std::chrono::milliseconds declarationTime{2000}; ///< Within it a change of what operators declare has to be known.
};

/// \brief Brings the engine beside this process to the newest weights.
///
/// While this process is not heard of, a router may order its engine in its place. Who does is said by a row of the store, whose revision fences the orders;
/// this process takes the row back when it has something to order.
///
/// Routers that watch the engine tell which weights were named and when it is the engine's turn; the store is followed only while none does.
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
    // The newest weights of a model, and when this engine may load them.
    struct Target
    {
        std::uint64_t version = 0;
        Core::TimePoint loadTime = Core::TimePoint::max();
        bool isOrdered = false; ///< The engine has taken the order to load them.
    };

    void replaceRows(const std::string &table, const Store::RowPage &page) override;
    void changeRows(const std::string &table, const Store::RowPage &page) override;
    void sourceLost(const std::string &table, const Core::Error &error) override;
    void sourceRegained(const std::string &table) override;
    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override;
    void staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer) override;
    void takeDeclarations(const std::string &table, const Store::RowPage &page, const Decisions::WeightsAnnouncement &naming);
    Decisions::WeightsAnnouncement dated(const Decisions::WeightsAnnouncement &naming, const Store::TableRow &row) const;
    void takeWatch(const verbena::wire::EngineWatch &watch);
    void followStoreIfUnwatched();
    void takeTurn(const verbena::wire::WeightsTurn &told);
    bool takeNamed(const Relay::AnnouncedWeights &named);
    bool isOutOfDate(const std::string &model, std::uint64_t version) const;
    bool isOwed(const std::string &model, const Target &target) const;
    void plan(const std::string &model, const Decisions::WeightsAnnouncement &naming);
    void planTurn(const std::string &model, const Decisions::WeightsAnnouncement &naming, const Decisions::RolloutSlot &turn);
    void planAmong(const std::string &model, const Decisions::WeightsAnnouncement &naming, const Core::Result<Store::RowPage> &page);
    void look();
    void takeReport(const Core::Result<EngineReport> &report);
    void noteIncarnation(const EngineReport &report);
    void publish(const EngineReport &report, bool isSilent);
    void noteSilence(bool isSilent, const Core::Error *error);
    Core::TimePoint act(const EngineReport &report);
    void order(const std::string &model, std::uint64_t version, std::uint64_t expectedOrders);
    void obtainLease();
    void commitLease(const Store::RowWrite &write);
    void confirmLease();
    void takeLeaseAnswer(const Store::RowWrite &write, const Store::CommitAnswer &answer, Core::BootTime askedAt);
    void lookAt(Core::TimePoint moment);

    EventLoop::Loop &m_loop;
    WeightsSettings m_settings;
    Store::RowSource &m_rows;
    Store::RowStore &m_orderRows;
    const Relay::DeploymentDecoder &m_decoder;
    EngineControl &m_engine;
    NewsPublisher &m_news;
    Relay::CacheMonitor m_cache;
    std::uint64_t m_publishedRevision = 0; ///< Of the cache.
    Core::TimePoint m_publishedWhole{}; ///< When routers were last told all that is cached.
    EventLoop::Timer m_timer;
    std::map<std::string, Target> m_targets; ///< By model.
    std::map<std::string, std::uint64_t> m_inPlace; ///< By model, for the log.
    Decisions::OrderLease m_lease;
    bool m_isLooking = false; ///< A report or an order is under way.
    bool m_isSilent = false;
    EngineReport m_lastReport;
    Store::StoreClockEstimate m_storeClock;
    Core::TimePoint m_watchedUntil; ///< Routers tell what is named until then.
    EventLoop::Timer m_watchTimer;
    std::unique_ptr<Store::TableFollower> m_declarations; ///< While no router tells what is named.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
