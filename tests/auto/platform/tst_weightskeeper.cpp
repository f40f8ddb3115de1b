#include <eventloop/loop.h>
#include <http/endpoint.h>
#include <platform/workerfake.h>
#include <weights/weightskeeper.h>
#include <wire/datagramsocket.h>

#include <gtest/gtest.h>

#include <verbena.pb.h>

#include <algorithm>
#include <map>
#include <optional>

#include <unistd.h>

namespace Verbena::Weights {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t writtenInError = std::uint64_t(1) << 60;

// Engine with old weights of one model, beside a cache that never answers and a store that answers once a test sets its page.
class AgentStub : public EngineControl, public Store::RowSource, public Store::RowStore, public Relay::DeploymentDecoder, public Relay::CacheChangeSource
{
public:
    void readReport(Core::TimePoint, ReportCallback done) override
    {
        EngineReport report;
        report.weights = {{"served", 1}};
        ++reports;
        done(report);
    }

    void readPace(const std::string &, Core::TimePoint, PaceCallback) override
    {
    }

    void orderWeights(const WeightsOrder &order, Core::TimePoint, OrderCallback done) override
    {
        ordered.push_back(order.version);
        done(Decisions::OrderAnswer::Refused);
    }

    void readTable(const std::string &table, Core::TimePoint, PageCallback done) override
    {
        ++reads[table];
        if (page.has_value()) {
            done(*page);
        }
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback) override
    {
    }

    void readRow(const std::string &, const std::string &, Core::TimePoint, RowCallback done) override
    {
        if (page.has_value()) {
            done(m_leaseRow);
        }
    }

    void commit(const std::string &, const std::vector<Store::RowWrite> &writes, Core::TimePoint, CommitCallback done) override
    {
        ++leaseRequests;
        if (page.has_value()) {
            m_leaseRow = Store::TableRow{writes.front().key, *writes.front().value, 1, false, {}};
            done({Store::CommitOutcome::Committed, 1, {}, ""});
        }
    }

    Relay::DeploymentTables tables() const override
    {
        return {"declarations", "servers"};
    }

    Core::Result<Relay::DeploymentRow> decode(const std::string &, const Store::TableRow &row) const override
    {
        return row.value.empty() ? Relay::DeploymentRow() : Relay::DeploymentRow(Relay::AnnouncedWeights{row.key, std::stoull(row.value)});
    }

    void awaitCacheChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, CacheCallback) override
    {
    }

    std::optional<Store::RowPage> page; ///< What the store answers; nothing while it does not.
    std::map<std::string, int> reads; ///< By table.
    std::vector<std::uint64_t> ordered;
    int reports = 0;
    int leaseRequests = 0;

private:
    std::optional<Store::TableRow> m_leaseRow;
};

verbena::wire::Envelope watchOf(const std::vector<std::string> &models, std::uint64_t version = 2)
{
    verbena::wire::Envelope envelope;
    for (const std::string &model : models) {
        verbena::wire::WeightsTurn &turn = *envelope.mutable_engine_watch()->add_turns();
        turn.set_model(model);
        turn.set_version(version);
        turn.set_engines(1);
    }
    return envelope;
}

// An agent beside an engine with version 1 of a model, and a router that names versions.
class WeightsKeeperTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_stub.reports > 0; }));
    }

    void send(const verbena::wire::Envelope &watch)
    {
        m_sender->send(m_address, watch);
    }

    static sockaddr_in address(const std::string &port)
    {
        const std::string host = "127." + std::to_string(64 + getpid() / 62'500 % 64) + '.' + std::to_string(getpid() / 250 % 250) + '.';
        return Http::Endpoint::parse(host + std::to_string(1 + getpid() % 250) + ':' + port).value().address;
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    sockaddr_in m_address = address("28991");
    std::unique_ptr<Wire::DatagramSocket> m_sender
        = std::move(Wire::DatagramSocket::bind(*m_loop, address("28992"), [](const auto &, const auto &) {}).value());
    std::unique_ptr<NewsPublisher> m_news = std::move(NewsPublisher::create(*m_loop, m_address, "engine").value());
    AgentStub m_stub;
    WeightsKeeper m_keeper{*m_loop, {"host", "engine", {}, {}}, m_stub, m_stub, m_stub, m_stub, m_stub, *m_news};
};

// A packet with as many model names as are kept made an agent ignore the new weights of its own engine's model for good.
TEST_F(WeightsKeeperTest, takesTheWeightsOfTheEnginesModelWhateverOthersWereNamed)
{
    std::vector<std::string> others;
    others.reserve(256);
    for (int number = 0; number < 256; ++number) {
        others.push_back(std::to_string(number));
    }
    send(watchOf(others));
    send(watchOf({"served"}));
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_stub.leaseRequests > 0; }));
}

// A version that was named in error was ordered until the agent ended, and the one that the operator then named was not.
TEST_F(WeightsKeeperTest, versionNamedInErrorIsOrderedForGood)
{
    m_stub.page = Store::RowPage{{{"served", "3", 7, false, {}}}, 7, false};
    send(watchOf({"served"}, writtenInError));
    const auto isOrdered = [this](std::uint64_t version) {
        return std::find(m_stub.ordered.begin(), m_stub.ordered.end(), version) != m_stub.ordered.end();
    };
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [&] { return isOrdered(writtenInError); }));
    send(watchOf({"served"}, 3));
    const Core::TimePoint end = m_loop->now() + 2100ms;
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [&] { return m_loop->now() >= end; }));
    send(watchOf({"served"}, 2));
    send(watchOf({"served"}, 3));
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&] {
        send(watchOf({"served"}, 3));
        return isOrdered(3);
    }));
    EXPECT_FALSE(isOrdered(2));
}

} // namespace

} // namespace Verbena::Weights
