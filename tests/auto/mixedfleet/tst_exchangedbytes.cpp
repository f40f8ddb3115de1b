#include "texthelpers.h"

#include <decisions/control/claimrecord.h>
#include <relay/streamorigincodec.h>
#include <settingstree/snapshotcodec.h>
#include <settingstree/wireconversion.h>
#include <wire/generated/verbena.pb.h>

#include <arpa/inet.h>

#include <gtest/gtest.h>

using namespace Verbena;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const Decisions::SettingsDelta everything{
    0, 7, 5'000'000'000, {{"settings/models/a", R"({"replicas":1})", 3, false}, {"settings/organisations/o/teams/t", "", 7, true}}, false};

} // namespace

TEST(ExchangedBytes, SettingsDigests)
{
    EXPECT_EQ(hex(SettingsTree::toWire(Decisions::SettingsDigest{5, 0x0123456789abcdef, microseconds(9)}).SerializeAsString()), "080511efcdab8967452301180a");
}

TEST(ExchangedBytes, SettingsChanges)
{
    EXPECT_EQ(hex(SettingsTree::toWire(everything).SerializeAsString()),
        "0a250a1173657474696e67732f6d6f64656c732f611003220e7b227265706c69636173223a317d0a260a2073657474696e67732f6f7267616e69736174696f6e732f6f2f7465616d732f74"
        "100718011080e497d0122007");
}

TEST(ExchangedBytes, SettingsSnapshots)
{
    EXPECT_EQ(hex(SettingsTree::encodeSnapshot(everything)),
        "76657262656e612d73657474696e67732d736e617073686f7420310a64363838323339353433396664616161373438333166353935343362623031320a0a250a1173657474696e67732f6d"
        "6f64656c732f611003220e7b227265706c69636173223a317d0a260a2073657474696e67732f6f7267616e69736174696f6e732f6f2f7465616d732f74100718011080e497d0122007");
}

TEST(ExchangedBytes, StreamOrigins)
{
    const Decisions::StreamKey key{"kalari", "attempt-1"};
    const auto message = Relay::encodeAnswer(300, key, Decisions::StreamOrigin{"chat", "4.9", false});
    EXPECT_EQ(hex(message.SerializeAsString()), "08ac02121e0a066b616c6172691209617474656d70742d311a04636861742203342e39");
    EXPECT_EQ(hex(Relay::encodeOrigin(key, {"chat", "4.9", true}, milliseconds(60'000)).SerializeAsString()),
        "0a066b616c6172691209617474656d70742d311a04636861742203342e3928e0d4033001");
}

// The numbers of addresses go out in network order on each machine.
TEST(ExchangedBytes, NewsOfEngines)
{
    verbena::wire::EngineNews news;
    news.set_address("10.2.0.4:8000");
    news.add_routers(inet_addr("10.1.0.30"));
    news.add_parts(0x0123456789abcdef);
    news.set_pace(1.5);
    news.set_incarnation(5'000'000'000);
    EXPECT_EQ(hex(news.SerializeAsString()), "0a0d31302e322e302e343a383030305208efcdab896745230162040a01001e6880e497d01271000000000000f83f");
}

TEST(ExchangedBytes, EndsOfRuns)
{
    verbena::wire::Envelope envelope;
    verbena::wire::Ended &ended = *envelope.mutable_ended();
    ended.set_request("caf\xc3\xa9");
    ended.set_status(-1);
    ended.set_sequence(std::uint64_t{1} << 40);
    EXPECT_EQ(hex(envelope.SerializeAsString()), "3a190a05636166c3a91880808080802028ffffffffffffffffff01");
}

TEST(ExchangedBytes, RowsOfClaims)
{
    const Core::WallTime madeAt(std::chrono::seconds(1'800'000'000));
    const Decisions::ClaimRecord record{"router-1/5", 0xfedcba9876543210, madeAt, Decisions::ClaimOutcome{200, "text/plain", "caf\xc3\xa9\n"}};
    EXPECT_EQ(record.encode(), "router-1/5\n18364758544493064720\n1800000000\ndone\n200\ntext/plain\ncaf\xC3\xA9\n");
}
