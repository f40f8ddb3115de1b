#include <settingstree/snapshotcodec.h>
#include <settingstree/wireconversion.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Verbena::SettingsTree {

namespace {

const Decisions::SettingsDelta everything{
    0, 7, 7, {{"settings/models/a", R"({"replicas":1})", 3, false}, {"settings/organisations/o/teams/t", "", 7, true}}, false};

TEST(SnapshotCodecTest, readsWhatItWrote)
{
    const auto read = decodeSnapshot(encodeSnapshot(everything));
    ASSERT_TRUE(read) << read.error().toString();
    EXPECT_EQ(read.value().highest, 7U);
    EXPECT_EQ(read.value().rows, everything.rows);
}

TEST(SnapshotCodecTest, refusesEveryDamage)
{
    EXPECT_TRUE(rc::check("a changed, cut or longer snapshot is refused", [] {
        const std::string good = encodeSnapshot(everything);
        std::string bytes = good;
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes.replace(at, *rc::gen::inRange<std::size_t>(0, 9), *rc::gen::arbitrary<std::string>());
        RC_PRE(bytes != good);
        RC_ASSERT(!decodeSnapshot(bytes));
    }));
    EXPECT_FALSE(decodeSnapshot(""));
}

TEST(WireConversionTest, keepsDigests)
{
    for (const auto age :
        {std::optional<std::chrono::microseconds>(), std::optional(std::chrono::microseconds(0)), std::optional(std::chrono::microseconds(9))}) {
        const Decisions::SettingsDigest digest = fromWire(toWire(Decisions::SettingsDigest{5, 6, age}));
        EXPECT_EQ(digest.revision, 5U);
        EXPECT_EQ(digest.hash, 6U);
        EXPECT_EQ(digest.verifiedAge, age);
    }
}

} // namespace

} // namespace Verbena::SettingsTree
