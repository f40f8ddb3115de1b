#include <decisions/relay/attemptpolicy.h>
#include <decisions/relay/relaydirectory.h>
#include <decisions/relay/requestattempts.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

RelayRoute routeFor(const std::string &host, const std::string &prefix)
{
    RelayRoute route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.services = {{"service", 1.0}};
    return route;
}

// Reference implementation, as documented: of the routes of a host, the one with the longest prefix that begins the path.
const RelayRoute *longestPrefix(const std::vector<RelayRoute> &routes, const std::string &host, const std::string &path)
{
    const RelayRoute *best = nullptr;
    for (const RelayRoute &route : routes) {
        const bool isBegun = route.host == host && path.substr(0, route.prefix.size()) == route.prefix;
        if (isBegun && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

rc::Gen<std::string> pathGen()
{
    return rc::gen::map(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)), [](const std::vector<int> &parts) {
        std::string path = "/";
        for (const int part : parts) {
            path += std::string(1, static_cast<char>('a' + part)) + (part == 2 ? "" : "/");
        }
        return path;
    });
}

TEST(RelayDirectoryTest, findsTheSameRouteAsALinearSearch)
{
    EXPECT_TRUE(rc::check([] {
        RelayConfiguration configuration;
        const auto prefixes = *rc::gen::container<std::vector<std::string>>(pathGen());
        for (const std::string &prefix : prefixes) {
            const std::string whole = prefix.back() == '/' ? prefix : prefix + '/';
            const auto isKnown = [&whole](const RelayRoute &route) {
                return route.prefix == whole;
            };
            if (std::none_of(configuration.routes.begin(), configuration.routes.end(), isKnown)) {
                configuration.routes.push_back(routeFor("one.example", whole));
            }
        }
        const std::vector<RelayRoute> routes = configuration.routes;
        const RelayDirectory directory(std::move(configuration));
        const std::string path = *pathGen();
        const RelayRoute *expected = longestPrefix(routes, "one.example", path);
        const RelayRoute *found = directory.route("One.Example:80", path);
        RC_ASSERT((expected == nullptr) == (found == nullptr));
        if (expected != nullptr) {
            RC_ASSERT(expected->prefix == found->prefix);
        }
        RC_ASSERT(directory.route("two.example", path) == nullptr);
    }));
}

TEST(RelayDirectoryTest, matchesPrefixesOnlyAtSlashes)
{
    RelayConfiguration configuration;
    configuration.routes = {routeFor("one.example", "/wall/")};
    const RelayDirectory directory(std::move(configuration));
    EXPECT_EQ(directory.route("one.example", "/wall"), nullptr);
    EXPECT_EQ(directory.route("one.example", "/wall2/a"), nullptr);
    EXPECT_NE(directory.route("one.example", "/wall/"), nullptr);
}

TEST(RelayDirectoryTest, splitsRequestsByWeight)
{
    RelayRoute route = routeFor("one.example", "/");
    route.services = {{"big", 90}, {"small", 10}};
    int small = 0;
    constexpr int requests = 1000;
    for (std::uint64_t randomValue = 0; randomValue < requests; ++randomValue) {
        small += RelayDirectory::service(route, randomValue * 1000) == "small" ? 1 : 0;
    }
    EXPECT_EQ(small, requests / 10);
}

TEST(RelayDirectoryTest, findsTheOrganisationOfAKey)
{
    RelayConfiguration configuration;
    configuration.organisations = {{"dams", {"k1", "k2"}, std::nullopt, false}, {"rosters", {"k3"}, 1, true}};
    const RelayDirectory directory(std::move(configuration));
    EXPECT_EQ(directory.organisation("k2")->name, "dams");
    EXPECT_EQ(directory.organisation("k3")->name, "rosters");
    EXPECT_EQ(directory.organisation("k4"), nullptr);
    EXPECT_EQ(directory.organisation(""), nullptr);
}

AttemptState state(RequestKind kind, bool isRepeatable, std::uint32_t runs)
{
    return {kind, isRepeatable, runs, 2, 1, false};
}

TEST(AttemptPolicyTest, neverResendsWhatMayHaveRunAndMayNotRunTwice)
{
    const AttemptState lost = state(RequestKind::NonIdempotent, false, 1);
    EXPECT_FALSE(mayResend(lost, CallFailure::Lost));
    EXPECT_FALSE(mayResend(lost, CallFailure::NotSent));
    EXPECT_FALSE(mayResend(lost, CallFailure::ServerError));
    EXPECT_EQ(actionWithoutResend(lost, CallFailure::Lost), AttemptAction::ReportLost);
    EXPECT_EQ(actionWithoutResend(lost, CallFailure::NotSent), AttemptAction::ReportLost);
}

TEST(AttemptPolicyTest, resendsWhatProvablyDidNotRun)
{
    const AttemptState refused = state(RequestKind::NonIdempotent, false, 0);
    EXPECT_TRUE(mayResend(refused, CallFailure::NotRun));
    EXPECT_TRUE(mayResend(refused, CallFailure::NotSent));
    EXPECT_EQ(actionWithoutResend(refused, CallFailure::NotRun), AttemptAction::Refuse);
}

TEST(AttemptPolicyTest, runsARepeatableRequestAtAsManyServersAsItsRouteAllows)
{
    EXPECT_TRUE(mayResend(state(RequestKind::Idempotent, true, 1), CallFailure::Lost));
    EXPECT_FALSE(mayResend(state(RequestKind::Idempotent, true, 2), CallFailure::Lost));
    EXPECT_EQ(actionWithoutResend(state(RequestKind::Idempotent, true, 2), CallFailure::ServerError), AttemptAction::PassAnswer);
}

// A server that ended runs nothing any more, so that its run takes no attempt from the request.
TEST(AttemptPolicyTest, runThatEndedWithItsServerUsesUpAnAttempt)
{
    AttemptState lost = state(RequestKind::Idempotent, true, 2);
    lost.endedRuns = 1;
    EXPECT_TRUE(mayResend(lost, CallFailure::Lost));
    EXPECT_TRUE(mayResend(lost, CallFailure::NotRun));
    EXPECT_EQ(actionWithoutResend(lost, CallFailure::Lost), AttemptAction::ReportLost);
    lost.runs = 3;
    EXPECT_FALSE(mayResend(lost, CallFailure::Lost));
    lost.isRepeatable = false;
    lost.endedRuns = 3;
    EXPECT_FALSE(mayResend(lost, CallFailure::Lost));
}

// Attempts bound the servers that run a request, and a server that runs it again is no further one.
TEST(AttemptPolicyTest, returnsOnlyToAServerThatRanTheRequest)
{
    AttemptState lost = state(RequestKind::Streaming, true, 2);
    lost.isAnswerBegun = true;
    lost.mayReturn = true;
    EXPECT_TRUE(mayResend(lost, CallFailure::Lost));
    EXPECT_FALSE(lost.mayRunElsewhere());
    EXPECT_FALSE(mayResend(lost, CallFailure::ServerError));
    EXPECT_FALSE(mayMoveStream(lost));
    lost.mayReturn = false;
    lost.runs = 3;
    lost.repeatedRuns = 1;
    EXPECT_FALSE(mayResend(lost, CallFailure::Lost));
    lost.isRepeatable = false;
    lost.mayReturn = true;
    EXPECT_FALSE(mayResend(lost, CallFailure::Lost));
}

TEST(RequestAttemptsTest, allowsOnlyTheServerThatWasLeftOnceAttemptsAreUsedUp)
{
    RelayRoute route;
    route.kind = RequestKind::Streaming;
    route.isResumable = true;
    route.attempts = 2;
    RequestAttempts attempts;
    attempts.setRoute(route);
    attempts.recordSend("a");
    attempts.recordLeave(CallFailure::Lost, true);
    attempts.recordSend("b");
    FleetQuery query;
    attempts.limit(query, attempts.stateAfter(CallFailure::Lost, true));
    EXPECT_EQ(query.onlyServer, "a");
    EXPECT_EQ(query.excluded, std::vector<std::string>{"b"});
    attempts.recordEnd(CallFailure::Lost, true);
    attempts.recordSend("a");
    EXPECT_TRUE(attempts.stateAfter(CallFailure::NotRun, true).mayRunOnceMore());
    attempts.recordEnd(CallFailure::Lost, true);
    EXPECT_FALSE(attempts.state(true).mayRunOnceMore());
    EXPECT_EQ(attempts.state(true).repeatedRuns, 1U);
}

TEST(AttemptPolicyTest, resumesOnlyResumableStreamsAfterTheyHaveStarted)
{
    AttemptState begun = state(RequestKind::Streaming, true, 1);
    begun.isAnswerBegun = true;
    EXPECT_TRUE(mayResend(begun, CallFailure::Lost));
    EXPECT_EQ(actionWithoutResend(begun, CallFailure::Lost), AttemptAction::CutStream);
    begun.kind = RequestKind::Idempotent;
    EXPECT_FALSE(mayResend(begun, CallFailure::Lost));
}

TEST(AttemptPolicyTest, movesOnlyRequestsThatMayRunAgain)
{
    AttemptState begun = state(RequestKind::Streaming, true, 0);
    EXPECT_FALSE(mayMoveStream(begun));
    begun.isAnswerBegun = true;
    EXPECT_TRUE(mayMoveStream(begun));
    begun.runs = 1;
    EXPECT_FALSE(mayMoveStream(begun));
    begun.runs = 0;
    begun.isRepeatable = false;
    EXPECT_FALSE(mayMoveStream(begun));
}

} // namespace

} // namespace Verbena::Decisions
