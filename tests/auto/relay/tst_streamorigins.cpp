#include <decisions/relay/origininquiry.h>
#include <decisions/relay/originreplicas.h>
#include <decisions/relay/softwarerecord.h>
#include <decisions/relay/streamorigins.h>
#include <decisions/spread/messagenumbers.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr auto lifetime = 30s;
const Core::TimePoint start{1h};
const StreamOrigin origin{"s", "v1"};

StreamKey key(const std::string &attempt, const std::string &organisation = "dams")
{
    return {organisation, attempt};
}

TEST(StreamOriginsTest, returnsAnOriginUntilItExpires)
{
    StreamOrigins origins;
    origins.record(key("a"), origin, start + lifetime, start);
    EXPECT_EQ(origins.find(key("a"), start + lifetime - 1ms), origin);
    EXPECT_EQ(origins.find(key("a"), start + lifetime), std::nullopt);
}

// The key of one organisation must not tell anything of the streams of another one.
TEST(StreamOriginsTest, returnsNothingToAnotherOrganisation)
{
    StreamOrigins origins;
    origins.record(key("a"), origin, start + lifetime, start);
    EXPECT_EQ(origins.find(key("a", "quarry"), start), std::nullopt);
}

TEST(StreamOriginsTest, disputesAnAttemptIdThatWasUsedTwice)
{
    StreamOrigins origins;
    origins.record(key("a"), origin, start + lifetime, start);
    origins.record(key("a"), origin, start + lifetime, start);
    EXPECT_FALSE(origins.find(key("a"), start)->isDisputed);
    origins.record(key("a"), {"s", "v2"}, start + lifetime, start);
    EXPECT_TRUE(origins.find(key("a"), start)->isDisputed);
    origins.record(key("a"), origin, start + lifetime, start);
    EXPECT_TRUE(origins.find(key("a"), start)->isDisputed);
}

TEST(StreamOriginsTest, removesExpiredEntries)
{
    StreamOrigins origins;
    origins.record(key("a"), origin, start + lifetime, start);
    origins.record(key("b"), origin, start + 3 * lifetime, start + 2 * lifetime);
    EXPECT_EQ(origins.size(), 1U);
}

// A flood of streams of one organisation must not push out those of others.
RC_GTEST_PROP(StreamOriginsProperty, staysBoundedAndKeepsTheStreamsOfSmallOrganisations, (const std::vector<std::uint8_t> &organisations))
{
    constexpr std::size_t maximumEntries = 20;
    constexpr std::size_t smallCount = 4;
    StreamOrigins origins(maximumEntries);
    for (std::size_t stream = 0; stream < smallCount; ++stream) {
        origins.record(key(std::to_string(stream), "small"), origin, start + lifetime, start);
    }
    int number = 0;
    for (const std::uint8_t organisation : organisations) {
        origins.record(key("f" + std::to_string(number++), "flood" + std::to_string(organisation % 2)), origin, start + lifetime, start);
        RC_ASSERT(origins.size() <= maximumEntries);
    }
    for (std::size_t stream = 0; stream < smallCount; ++stream) {
        RC_ASSERT(origins.find(key(std::to_string(stream), "small"), start).has_value());
    }
}

class SoftwareVersionsTest : public testing::Test
{
protected:
    void set(const std::string &id, const std::string &version)
    {
        m_servers.set({id, "s", "127.0.0.1:1", "hall", 6, false, {}, 0, version});
    }

    std::optional<SoleSoftware> sole(std::chrono::milliseconds after)
    {
        m_software.update(m_servers, start + after);
        return m_software.sole("s", start + after);
    }

    ServerRegister m_servers;
    SoftwareVersions m_software;
};

TEST_F(SoftwareVersionsTest, knowsAVersionForAsLongAsItWasTheOnlyOne)
{
    set("a", "v1");
    EXPECT_EQ(sole(0s)->duration, 0s);
    EXPECT_EQ(sole(20s)->duration, 20s);
    set("b", "v2");
    EXPECT_FALSE(sole(21s));
    m_servers.remove("a", start + 22s);
    EXPECT_EQ(sole(25s)->version, "v2");
    EXPECT_EQ(sole(25s)->duration, 4s);
}

TEST_F(SoftwareVersionsTest, knowsNothingOfAServiceWithoutServers)
{
    EXPECT_FALSE(sole(0s));
}

// A process that had just started took the only version that it saw for the only one there had been.
TEST_F(SoftwareVersionsTest, learnsWhichVersionsThereWereBeforeItStarted)
{
    set("a", "v2");
    EXPECT_LT(sole(0s)->duration, 10s);
    m_software.learn({{"s", "v1"}, {"s", "v2"}, {"other", "v1"}}, start + 1s);
    EXPECT_EQ(sole(1s)->duration, 0s);
    EXPECT_EQ(sole(11s)->duration, 10s);
    set("b", "v3");
    EXPECT_FALSE(sole(12s));
    m_servers.remove("b", start + 13s);
    EXPECT_EQ(sole(13s)->duration, 1s);
}

// Callers that name no attempt were refused after each start, although there was only one version.
TEST_F(SoftwareVersionsTest, learnsThatThereWasNoOtherVersion)
{
    set("a", "v1");
    EXPECT_TRUE(sole(0s));
    m_software.learn({{"s", "v1"}}, start);
    EXPECT_GE(sole(0s)->duration, 1h);
    m_servers.set({"c", "late", "127.0.0.1:1", "hall", 6, false, {}, 0, "v1"});
    m_software.update(m_servers, start + 1s);
    EXPECT_GE(m_software.sole("late", start + 1s)->duration, 1h);
}

TEST_F(SoftwareVersionsTest, recordsEachVersionUntilItsStreamsCannotBeResumed)
{
    const ServiceSoftware first{"s", "v1"};
    const ServiceSoftware second{"s", "v2"};
    const auto isOne = [](const std::vector<SoftwareChange> &changes, const ServiceSoftware &software, bool isRemoved) {
        return changes.size() == 1 && changes.front().software == software && changes.front().isRemoved == isRemoved;
    };
    SoftwareRecord record;
    record.set({first}, {first}, start);
    EXPECT_TRUE(record.changes({first}, 10s, start).empty());
    EXPECT_TRUE(isOne(record.changes({first, second}, 10s, start + 1s), second, false));
    EXPECT_TRUE(record.changes({second}, 10s, start + 10s).empty());
    EXPECT_TRUE(isOne(record.changes({second}, 10s, start + 11s), first, true));
    EXPECT_TRUE(record.changes({second}, 10s, start + 12s).empty());
    EXPECT_TRUE(isOne(record.changes({first, second}, 10s, start + 13s), first, false));
}

// Whoever reads the record does not know when a version left that is not registered.
TEST_F(SoftwareVersionsTest, keepsARecordedVersionForAsLongAsIfItHadJustLeft)
{
    const ServiceSoftware gone{"s", "v1"};
    SoftwareRecord record;
    record.set({gone}, {}, start);
    EXPECT_TRUE(record.changes({}, 10s, start + 9s).empty());
    EXPECT_EQ(record.changes({}, 10s, start + 10s).size(), 1U);
}

RC_GTEST_PROP(SoftwareRowProperty, holdsAnyNames, (const std::string &service, const std::string &version))
{
    const ServiceSoftware software{service, version};
    RC_ASSERT(decodeSoftwareRow(softwareRowKey(software)).value() == software);
}

RC_GTEST_PROP(SoftwareRowProperty, refusesOtherKeys, (const std::string &key))
{
    const auto software = decodeSoftwareRow(key);
    const bool isRight = !software || softwareRowKey(software.value()) == key || key.starts_with('0');
    RC_ASSERT(isRight);
}

// A process that has just started does not know which versions there were before.
TEST_F(SoftwareVersionsTest, countsFromTheFirstUpdate)
{
    set("a", "v1");
    EXPECT_EQ(sole(10s)->duration, 0s);
}

std::vector<ReplicaAgent> agents(std::size_t count)
{
    std::vector<ReplicaAgent> agents;
    for (std::size_t index = 0; index < count; ++index) {
        agents.push_back({"10.1.0." + std::to_string(index), "hall-" + std::to_string(index % 3)});
    }
    return agents;
}

TEST(OriginReplicasTest, chooseRoutersAndAgentsOfSeveralFailureDomains)
{
    const std::vector<ReplicaAgent> all = agents(9);
    OriginReplicas replicas;
    replicas.setRouters({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    replicas.setAgents(all);
    const std::vector<std::string> chosen = replicas.replicas(key("a"));
    ASSERT_EQ(chosen.size(), 4U);
    std::set<std::string> domains;
    for (const ReplicaAgent &agent : all) {
        if (std::find(chosen.begin(), chosen.end(), agent.address) != chosen.end()) {
            domains.insert(agent.failureDomain);
        }
    }
    EXPECT_EQ(domains.size(), 2U);
}

// Routers that do not know the same processes must still find each other's streams.
RC_GTEST_PROP(OriginReplicasProperty, queryAReplicaThatWasToldWhereOneProcessIsUnknown, (const std::string &attempt))
{
    OriginReplicas teller;
    OriginReplicas asker;
    teller.setAgents(agents(9));
    std::vector<ReplicaAgent> fewer = agents(9);
    fewer.erase(fewer.begin() + *rc::gen::inRange(0, 9));
    asker.setAgents(fewer);
    const std::vector<std::string> told = teller.replicas(key(attempt));
    const std::vector<std::string> asked = asker.queriedReplicas(key(attempt));
    RC_ASSERT(std::any_of(told.begin(), told.end(), [&asked](const std::string &one) { return std::find(asked.begin(), asked.end(), one) != asked.end(); }));
}

ToldOrigin told(const StreamOrigin &where, const std::string &attempt = "stream")
{
    return {key(attempt), where};
}

SoleSoftware soleFor(std::chrono::milliseconds duration)
{
    return {"v1", duration};
}

TEST(OriginInquiryTest, isDecidedByTheFirstOrigin)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    EXPECT_FALSE(inquiry.isDecided());
    inquiry.handleAnswer("a", std::nullopt);
    EXPECT_FALSE(inquiry.isDecided());
    inquiry.handleAnswer("b", told(origin));
    EXPECT_TRUE(inquiry.isDecided());
    EXPECT_EQ(inquiry.result(), origin);
}

TEST(OriginInquiryTest, knowsNothingOfADisputedOrigin)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    inquiry.handleAnswer("a", told(origin));
    inquiry.handleAnswer("b", told({"s", "v2"}));
    EXPECT_EQ(inquiry.result(), std::nullopt);
}

TEST(OriginInquiryTest, takesTheOnlyVersionOfAServiceThatHadNoOtherForLongEnough)
{
    OriginInquiry shorter(key("stream"), "s", lifetime, {"a"});
    shorter.handleAnswer("a", std::nullopt);
    shorter.handleRegister(soleFor(lifetime - 1ms));
    EXPECT_TRUE(shorter.isDecided());
    EXPECT_EQ(shorter.result(), std::nullopt);
    OriginInquiry longer(key("stream"), "s", lifetime, {"a"});
    longer.handleRegister(soleFor(lifetime));
    EXPECT_TRUE(longer.isDecided());
    EXPECT_EQ(longer.result(), origin);
}

// Replicas that were not told say nothing about a version that this process may not have heard of.
TEST(OriginInquiryTest, isNotDecidedByReplicasThatWereNotToldBeforeTheRegisterIsVerified)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    inquiry.handleAnswer("a", std::nullopt);
    inquiry.handleAnswer("b", std::nullopt);
    EXPECT_FALSE(inquiry.isDecided());
    EXPECT_EQ(inquiry.result(), std::nullopt);
    inquiry.handleRegister(std::nullopt);
    EXPECT_TRUE(inquiry.isDecided());
    EXPECT_EQ(inquiry.result(), std::nullopt);
}

TEST(OriginInquiryTest, awaitsReplicasWhereTheRegisterShowsSeveralVersions)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a"});
    inquiry.handleRegister(std::nullopt);
    EXPECT_FALSE(inquiry.isDecided());
    inquiry.handleAnswer("a", told(origin));
    EXPECT_EQ(inquiry.result(), origin);
}

// A replica's record names the stream itself.
TEST(OriginInquiryTest, takesAnOriginBeforeTheOnlyVersion)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    inquiry.handleRegister(soleFor(lifetime));
    inquiry.handleAnswer("a", told({"s", "v2"}));
    EXPECT_EQ(inquiry.result()->softwareVersion, "v2");
}

// A late answer to a process's predecessor, or a repeated one, joined the parts of streams of two software versions.
TEST(OriginInquiryTest, isNotAnsweredByWhatIsSaidOfAnotherStream)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    inquiry.handleAnswer("a", told({"s", "v2"}, "another"));
    inquiry.handleAnswer("b", ToldOrigin{key("stream", "quarry"), {"s", "v2"}});
    EXPECT_FALSE(inquiry.isDecided());
    EXPECT_EQ(inquiry.silentReplicas().size(), 2U);
    inquiry.handleAnswer("a", told(origin));
    EXPECT_EQ(inquiry.result(), origin);
}

TEST(OriginInquiryTest, isNotAnsweredByAProcessThatWasNotAsked)
{
    OriginInquiry inquiry(key("stream"), "s", lifetime, {"a"});
    inquiry.handleAnswer("c", told({"s", "v2"}));
    EXPECT_FALSE(inquiry.isDecided());
}

RC_GTEST_PROP(MessageNumbersProperty, differFromThoseOfAnEarlierStart, (std::uint64_t earlier, std::uint64_t later))
{
    constexpr std::uint64_t messages = 1'000'000;
    RC_PRE(earlier != later);
    const std::uint64_t first = MessageNumbers(earlier).next();
    const std::uint64_t second = MessageNumbers(later).next();
    RC_ASSERT(std::max(first, second) - std::min(first, second) > messages);
}

TEST(OriginInquiryTest, knowsNothingIfNobodyAnswers)
{
    const OriginInquiry inquiry(key("stream"), "s", lifetime, {"a", "b"});
    EXPECT_EQ(inquiry.result(), std::nullopt);
    EXPECT_EQ(inquiry.silentReplicas().size(), 2U);
}

} // namespace

} // namespace Verbena::Decisions
