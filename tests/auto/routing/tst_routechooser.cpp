#include <decisions/routing/routechooser.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace Verbena;
using namespace Verbena::Decisions;
using namespace std::chrono_literals;

namespace {

const ModelVersion analyst{"analyst", "", "7"};
const ModelVersion older{"analyst", "", "6"};
const Core::TimePoint start{std::chrono::hours(1)};

BackendServer serverNamed(const std::string &name, const std::string &domain, const ModelVersion &version)
{
    BackendServer server;
    server.id = backendServerId(name);
    server.name = name;
    server.failureDomain = domain;
    server.served = {version};
    return server;
}

std::vector<BackendServer> fleetOf(int count)
{
    std::vector<BackendServer> servers;
    servers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        servers.push_back(serverNamed("e" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), analyst));
    }
    return servers;
}

RouteQuery queryFor(const std::vector<std::uint64_t> &keys)
{
    RouteQuery query;
    query.version = analyst;
    query.root = PrefixKey(77);
    for (const std::uint64_t key : keys) {
        query.keys.push_back(PrefixKey(key));
    }
    return query;
}

RouteChooser chooserFor(const std::vector<BackendServer> &servers, std::uint64_t seed = 1)
{
    RoutingOptions options;
    options.seed = seed;
    RouteChooser chooser(options);
    chooser.setFleet(servers);
    return chooser;
}

} // namespace

TEST(RouteChooser, RoutersWithoutDataAgreeOnTheHome)
{
    const RouteChooser first = chooserFor(fleetOf(20), 1);
    const RouteChooser second = chooserFor(fleetOf(20), 2);
    EXPECT_EQ(first.choose(queryFor({1, 2, 3}), start).candidates.size(), 3U);
    const Placement placement([] {
        std::vector<BackendServerId> ids;
        for (const BackendServer &server : fleetOf(20)) {
            ids.push_back(server.id);
        }
        return ids;
    }());
    const BackendServerId home = placement.nearest(PrefixKey(1), 1).front();
    for (const RouteChooser *chooser : {&first, &second}) {
        const RouteDecision decision = chooser->choose(queryFor({1, 2, 3}), start);
        EXPECT_TRUE(std::any_of(decision.candidates.begin(), decision.candidates.end(), [home](const RouteCandidate &candidate) {
            return candidate.id == home && candidate.origin == CandidateOrigin::Home;
        }));
    }
}

// One of many routers in front of a large fleet sends each backend server less than one request within the time constant of the demand.
// Without a minimum demand for hot prefixes, a prompt that it sees twice would be spread over many homes and be cold at each.
TEST(RouteChooser, KeepsAPromptAtOneHomeUntilItsDemandIsHigh)
{
    RouteChooser chooser = chooserFor(fleetOf(180));
    const auto homes = [&chooser](const RouteQuery &query) {
        const std::vector<RouteCandidate> candidates = chooser.choose(query, start).candidates;
        return std::count_if(candidates.begin(), candidates.end(), [](const RouteCandidate &candidate) { return candidate.origin == CandidateOrigin::Home; });
    };
    const RouteQuery rare = queryFor({1, 2, 3});
    const RouteQuery hot = queryFor({4, 5, 6});
    for (int request = 0; request < 20; ++request) {
        chooser.recordDispatch(backendServerId("e0"), hot, 1ms, start);
    }
    for (int request = 0; request < 2; ++request) {
        chooser.recordDispatch(backendServerId("e1"), rare, 1ms, start);
    }
    EXPECT_EQ(homes(rare), 1);
    EXPECT_GT(homes(hot), 4);
}

TEST(RouteChooser, NeverChoosesAServerThatMayNotServe)
{
    EXPECT_TRUE(rc::check("leaving, dead, excluded, refusing and other versions are never candidates", [](const std::vector<std::uint8_t> &states) {
        std::vector<BackendServer> servers = fleetOf(static_cast<int>(states.size()));
        RouteQuery query = queryFor({1, 2, 3});
        std::set<BackendServerId> usable;
        std::vector<BackendServerId> refusing;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            switch (states[i] % 8) {
            case 0:
                servers[i].state = BackendServerState::Leaving;
                break;
            case 1:
                servers[i].state = BackendServerState::Dead;
                break;
            case 2:
                query.excluded.push_back(servers[i].id);
                break;
            case 3:
                servers[i].served = {older};
                break;
            case 4:
                refusing.push_back(servers[i].id);
                break;
            default:
                usable.insert(servers[i].id);
            }
        }
        RouteChooser chooser = chooserFor(servers);
        for (const BackendServer &server : servers) {
            chooser.recordDispatch(server.id, query, 1ms, start);
            chooser.recordReply(server.id, query, 3, 1ms, start);
        }
        for (const BackendServerId id : refusing) {
            chooser.recordRefusal(id, query, {0us, {}, true}, 1ms, start);
        }
        const RouteDecision decision = chooser.choose(query, start);
        RC_ASSERT(decision.candidates.empty() == usable.empty());
        for (const RouteCandidate &candidate : decision.candidates) {
            RC_ASSERT(usable.contains(candidate.id));
        }
    }));
}

TEST(RouteChooser, PrefersTheHolderUntilItsWaitOutweighsThePrefill)
{
    RouteChooser chooser = chooserFor(fleetOf(20));
    const RouteQuery query = queryFor({1, 2, 3, 4});
    const BackendServerId holder = backendServerId("e5");
    chooser.recordDispatch(holder, query, 1ms, start);
    chooser.recordReply(holder, query, 0, 1ms, start);
    LoadReport report;
    report.prefillPerPiece = 100ms;
    report.queuedWork = 300ms;
    chooser.updateLoad(holder, report, start);
    EXPECT_EQ(chooser.choose(query, start).best(), holder);
    report.queuedWork = 3s;
    chooser.updateLoad(holder, report, start);
    EXPECT_NE(chooser.choose(query, start).best(), holder);
}

TEST(RouteChooser, ForgetsTheCacheOfAnEarlierIncarnation)
{
    RouteChooser chooser = chooserFor(fleetOf(20));
    const RouteQuery query = queryFor({1, 2, 3, 4});
    const BackendServerId holder = backendServerId("e5");
    LoadReport report;
    report.incarnation = 1;
    chooser.updateLoad(holder, report, start);
    chooser.recordDispatch(holder, query, 1ms, start);
    chooser.recordReply(holder, query, 0, 1ms, start);
    EXPECT_EQ(chooser.choose(query, start).candidates.front().warmPieces, 4U);
    report.incarnation = 2;
    chooser.updateLoad(holder, report, start);
    for (const RouteCandidate &candidate : chooser.choose(query, start).candidates) {
        EXPECT_LT(candidate.warmPieces, 4U);
    }
}

TEST(RouteChooser, StopsSendingToAServerThatIsLeaving)
{
    RouteChooser chooser = chooserFor(fleetOf(2));
    LoadReport report;
    report.isLeaving = true;
    chooser.updateLoad(backendServerId("e0"), report, start);
    for (std::uint64_t key = 0; key < 100; ++key) {
        EXPECT_EQ(chooser.choose(queryFor({key}), start + 3s).best(), backendServerId("e1"));
    }
}

TEST(RouteChooser, AddsItsOwnWorkToTheReportedLoad)
{
    RouteChooser chooser = chooserFor(fleetOf(4));
    std::map<BackendServerId, int> counts;
    for (int i = 0; i < 40; ++i) {
        const RouteQuery query = queryFor({1});
        const BackendServerId chosen = *chooser.choose(query, start).best();
        ++counts[chosen];
        chooser.recordDispatch(chosen, query, 100ms, start);
    }
    EXPECT_EQ(counts.size(), 4U);
    for (const auto &[id, count] : counts) {
        EXPECT_LE(count, 16);
    }
}

TEST(RouteChooser, RefusesWhatTheBestCandidateWouldRefuse)
{
    RouteChooser chooser = chooserFor(fleetOf(2));
    LoadReport report;
    report.overloadLevel = 5;
    for (const BackendServer &server : fleetOf(2)) {
        chooser.updateLoad(server.id, report, start);
    }
    RouteQuery query = queryFor({1, 2});
    query.mark = 4;
    EXPECT_TRUE(chooser.choose(query, start).best().has_value());
    report.queuedWork = 1s;
    for (const BackendServer &server : fleetOf(2)) {
        chooser.updateLoad(server.id, report, start);
    }
    query.mark = 5;
    EXPECT_TRUE(chooser.choose(query, start).isOverloaded);
    EXPECT_EQ(chooser.choose(query, start).best(), std::nullopt);
    EXPECT_TRUE(chooser.choose(query, start + 1s).best().has_value());
}

TEST(RouteChooser, SpreadsRefusedRequestsToIdleServersOnly)
{
    RouteChooser chooser = chooserFor(fleetOf(2));
    RouteQuery query = queryFor({1, 2});
    query.mark = 5;
    LoadReport busy;
    busy.overloadLevel = 5;
    chooser.recordProbe(backendServerId("e0"), query, 2, busy, start);
    chooser.recordProbe(backendServerId("e1"), query, 0, {}, start);
    RouteDecision both;
    both.candidates.resize(2);
    both.candidates[0].id = backendServerId("e0");
    both.candidates[1].id = backendServerId("e1");
    EXPECT_EQ(chooser.chooseAmong(both, query, start).best(), backendServerId("e1"));
    LoadReport waiting;
    waiting.queuedWork = 100ms;
    chooser.recordProbe(backendServerId("e1"), query, 0, waiting, start);
    EXPECT_TRUE(chooser.chooseAmong(both, query, start).isOverloaded);
}

TEST(RouteChooser, UsesProbeRepliesOfItsCandidates)
{
    RouteChooser chooser = chooserFor(fleetOf(20));
    const RouteQuery query = queryFor({1, 2, 3, 4});
    const RouteDecision first = chooser.choose(query, start);
    ASSERT_GE(first.candidates.size(), 2U);
    const BackendServerId warm = first.candidates.back().id;
    chooser.recordDispatch(first.candidates.front().id, query, 1ms, start);
    for (const RouteCandidate &candidate : first.candidates) {
        chooser.recordProbe(candidate.id, query, candidate.id == warm ? 4 : 0, {}, start);
    }
    const RouteDecision second = chooser.chooseAmong(first, query, start);
    EXPECT_EQ(second.best(), warm);
    EXPECT_EQ(second.candidates.front().warmPieces, 4U);
    EXPECT_EQ(second.candidates.size(), first.candidates.size());
}

TEST(RouteChooser, ChoosesTheLowestScoreAmongAllServers)
{
    EXPECT_TRUE(rc::check("with three backend servers and no ties it chooses the one with the lowest score", [](std::uint64_t seed) {
        RouteChooser chooser = chooserFor(fleetOf(3), seed);
        const RouteQuery query = queryFor({1, 2, 3, 4});
        chooser.recordDispatch(backendServerId("e0"), query, 1ms, start);
        const RouteDecision all = [&] {
            RouteDecision decision;
            for (const BackendServer &server : fleetOf(3)) {
                decision.candidates.push_back({server.id, CandidateOrigin::Load, 0, 0, 0us, 0us, 0us, 0});
            }
            return decision;
        }();
        std::map<double, BackendServerId> scores;
        for (const RouteCandidate &candidate : all.candidates) {
            LoadReport report;
            report.queuedWork = std::chrono::milliseconds(10 * *rc::gen::inRange(0, 200));
            report.prefillPerPiece = std::chrono::milliseconds(10 * *rc::gen::inRange(1, 20));
            const std::uint32_t warm = *rc::gen::inRange<std::uint32_t>(0, 5);
            chooser.recordProbe(candidate.id, query, warm, report, start);
            const double unansweredWork = candidate.id == backendServerId("e0") ? 1000 : 0;
            const double missing = (4.0 - warm) * static_cast<double>(report.prefillPerPiece.count());
            const RoutingWeights weights;
            const double wait = static_cast<double>(report.queuedWork.count()) + unansweredWork;
            scores.emplace(weights.timeToFirstToken * (wait + missing) + weights.recomputation * missing, candidate.id);
        }
        RC_PRE(scores.size() == 3 && std::next(scores.begin())->first - scores.begin()->first > 2000);
        RC_ASSERT(chooser.chooseAmong(all, query, start).best() == scores.begin()->second);
    }));
}
