#include <eventloop/loop.h>
#include <http/endpoint.h>
#include <platform/workerfake.h>
#include <weights/weightskeeper.h>
#include <wire/datagramsocket.h>

#include <gtest/gtest.h>

#include <verbena.pb.h>

#include <unistd.h>

namespace Verbena::Weights {

namespace {

// Engine with old weights of one model, beside a store and a cache that never answer.
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

    void orderWeights(const WeightsOrder &, Core::TimePoint, OrderCallback) override
    {
    }

    void readTable(const std::string &, Core::TimePoint, PageCallback) override
    {
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback) override
    {
    }

    void readRow(const std::string &, const std::string &, Core::TimePoint, RowCallback) override
    {
    }

    void commit(const std::string &, const std::vector<Store::RowWrite> &, Core::TimePoint, CommitCallback) override
    {
        ++leaseRequests;
    }

    Relay::DeploymentTables tables() const override
    {
        return {"declarations", "servers"};
    }

    Core::Result<Relay::DeploymentRow> decode(const std::string &, const Store::TableRow &) const override
    {
        return Relay::DeploymentRow();
    }

    void awaitCacheChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, CacheCallback) override
    {
    }

    int reports = 0;
    int leaseRequests = 0;
};

verbena::wire::Envelope watchOf(const std::vector<std::string> &models)
{
    verbena::wire::Envelope envelope;
    for (const std::string &model : models) {
        verbena::wire::WeightsTurn &turn = *envelope.mutable_engine_watch()->add_turns();
        turn.set_model(model);
        turn.set_version(2);
        turn.set_engines(1);
    }
    return envelope;
}

// A packet with as many model names as are kept made an agent ignore the new weights of its own engine's model for good.
TEST(WeightsKeeperTest, takesTheWeightsOfTheEnginesModelWhateverOthersWereNamed)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    const std::string host = "127." + std::to_string(64 + getpid() / 62'500 % 64) + '.' + std::to_string(getpid() / 250 % 250) + '.';
    const auto address = Http::Endpoint::parse(host + std::to_string(1 + getpid() % 250) + ":28991").value().address;
    const auto senderAddress = Http::Endpoint::parse(host + std::to_string(1 + getpid() % 250) + ":28992").value().address;
    const auto sender = std::move(Wire::DatagramSocket::bind(*loop, senderAddress, [](const auto &, const auto &) {}).value());
    const auto news = std::move(NewsPublisher::create(*loop, address, "engine").value());
    AgentStub stub;
    const WeightsKeeper keeper(*loop, {"host", "engine", {}, {}}, stub, stub, stub, stub, stub, *news);
    ASSERT_TRUE(Verbena::Test::runUntil(*loop, [&stub] { return stub.reports > 0; }));
    std::vector<std::string> others;
    others.reserve(256);
    for (int number = 0; number < 256; ++number) {
        others.push_back(std::to_string(number));
    }
    sender->send(address, watchOf(others));
    sender->send(address, watchOf({"served"}));
    EXPECT_TRUE(Verbena::Test::runUntil(*loop, [&stub] { return stub.leaseRequests > 0; }));
}

} // namespace

} // namespace Verbena::Weights
