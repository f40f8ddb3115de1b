#pragma once

#include "enginecontrol.h"
#include "newspublisher.h"

#include <decisions/relay/weightsschedule.h>
#include <eventloop/timer.h>
#include <relay/cachewatch.h>
#include <relay/deploymentdecoder.h>
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
    Decisions::WeightsPace pace;
};

/// \brief Brings the engine beside this process to the newest weights.
///
/// Only this process gives orders to its engine, so nobody has to agree on who does. The number that fences its orders comes from the store at its first
/// order, and so is above that of an earlier process on this host.
class WeightsKeeper : private Store::RowConsumer
{
public:
    WeightsKeeper(EventLoop::Loop &loop,
        const WeightsSettings &settings,
        Store::RowSource &rows,
        Store::FenceSource &fences,
        const Relay::DeploymentDecoder &decoder,
        EngineControl &engine,
        Relay::CacheNewsSource &caches,
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
    void takeNamed(const Relay::NamedWeights &named);
    bool isOwed(const std::string &model, const Target &target) const;
    void plan(const std::string &model, Core::TimePoint namedAt);
    void planAmong(const std::string &model, Core::TimePoint namedAt, const Core::Result<Store::RowPage> &page);
    void look();
    void takeReport(const Core::Result<EngineReport> &report);
    void noteIncarnation(const EngineReport &report);
    void publish(const EngineReport &report, bool isSilent);
    void noteSilence(bool isSilent, const Core::Error *error);
    Core::TimePoint act(const EngineReport &report);
    void order(const std::string &model, std::uint64_t version, std::uint64_t expectedOrders);
    void drawFence();
    void lookAt(Core::TimePoint moment);
    template<typename Function>
    auto guarded(Function function);

    EventLoop::Loop &m_loop;
    WeightsSettings m_settings;
    Store::RowSource &m_rows;
    Store::FenceSource &m_fences;
    const Relay::DeploymentDecoder &m_decoder;
    EngineControl &m_engine;
    NewsPublisher &m_news;
    Relay::CacheWatch m_cache;
    std::uint64_t m_publishedRevision = 0; ///< Of the cache.
    Core::TimePoint m_publishedWhole{}; ///< When routers were last told all that is cached.
    EventLoop::Timer m_timer;
    std::shared_ptr<bool> m_isAlive; ///< Answers may come after this is gone.
    std::map<std::string, Target> m_targets; ///< By model.
    std::map<std::string, std::uint64_t> m_inPlace; ///< By model, for the log.
    std::optional<std::uint64_t> m_fence;
    bool m_isLooking = false; ///< A report or an order is under way.
    bool m_isSilent = false;
    EngineReport m_lastReport;
    Store::TableFollower m_declarations;
};

} // namespace Verbena::Weights
