#include "texthelpers.h"

#include <decisions/control/claimrecord.h>
#include <decisions/relay/crashsubject.h>
#include <decisions/relay/fleetchoice.h>
#include <decisions/relay/partindex.h>
#include <decisions/relay/promptkeys.h>
#include <decisions/relay/promptoutline.h>
#include <decisions/routing/prefixchain.h>
#include <decisions/spread/settingsstore.h>
#include <store/tablecontents.h>

#include <gtest/gtest.h>

#include <array>

using namespace Verbena;
using namespace Verbena::Decisions;

namespace {

// Characters above 127, which count as negative on x86-64 and as positive on arm64 where they are taken for numbers.
const std::string highCharacters = "caf\xc3\xa9\xff";

template<typename Key>
std::string hexKey(Key key)
{
    return hex(static_cast<std::uint64_t>(key));
}

std::vector<std::string> hexKeys(const std::vector<PrefixKey> &keys)
{
    std::vector<std::string> words;
    words.reserve(keys.size());
    for (const PrefixKey key : keys) {
        words.push_back(hexKey(key));
    }
    return words;
}

const PrefixScope scope{highCharacters, {"large", "chat", "7"}};

} // namespace

TEST(AgreedKeys, BackendServerIds)
{
    EXPECT_EQ(hexKey(backendServerId("10.1.0.30:8000")), "4bee6f3d7e61a329");
    EXPECT_EQ(hexKey(backendServerId(highCharacters)), "154d1da4d55972c4");
}

TEST(AgreedKeys, PrefixesOfTexts)
{
    const PrefixChain chain = PrefixChain::fromText(scope, "You are " + highCharacters + ". Answer.", 8);
    EXPECT_EQ(hexKey(chain.root()), "a3dd76984e6c2315");
    EXPECT_EQ(joined(hexKeys(chain.keys())), "657c14ef84897b90 6896f312e3d74785");
}

TEST(AgreedKeys, PrefixesOfTokens)
{
    constexpr std::array<std::uint32_t, 5> tokens{1, 70'000, 0xffffffff, 4, 5};
    EXPECT_EQ(joined(hexKeys(PrefixChain::fromTokens(scope, tokens, 2).keys())), "34d8aae0da1df0a9 dac7080f3e72904b");
}

TEST(AgreedKeys, PromptParts)
{
    EXPECT_EQ(hexKey(partKey("large@7/" + highCharacters, "part-1")), "bc368eae1cdb8ae9");
    const PromptOutline prompt{"large", {{"system", 900}, {highCharacters, 300}, {"session", 20}}, 1220, 100};
    FleetQuery query;
    query.service = "chat";
    query.prompt = &prompt;
    query.dedicatedTo = "kalari";
    FleetChoice choice;
    choice.weightsVersion = 7;
    describePrompt(choice, query);
    EXPECT_EQ(hexKey(choice.route.root), "34d852417524074a");
    EXPECT_EQ(joined(hexKeys(choice.route.keys)), "6996da33b77ddab1 ba684d7c57bfcc27");
}

TEST(AgreedKeys, RowsOfClaims)
{
    EXPECT_EQ(claimRowKey("kalari", "web", "order-" + highCharacters), "claims/kalari/web/b6c3c9e52af0f2ecb1a739ac2bed713d");
}

TEST(AgreedKeys, SubjectsOfCrashes)
{
    EXPECT_EQ(CrashSubject::ofRequest({"kalari", "POST", "chat.example", "/v1/completions", highCharacters}).text(), "99b9a8c42f144f2e5452fcaa779828d2");
    EXPECT_EQ(CrashSubject::ofPromptPart("kalari", highCharacters).text(), "part-c7a9a2b55562915c5f52529fdceea306");
}

TEST(AgreedKeys, HashesOfSettings)
{
    SettingsStore store;
    store.merge({0, 7, 7, {{"settings/models/a", R"({"replicas":1})", 3, false}, {"settings/organisations/" + highCharacters, "", 7, true}}, false});
    EXPECT_EQ(hex(store.hash()), "7eecb2b21b8ff044");
}

TEST(AgreedKeys, HashesOfTables)
{
    Store::TableContents table;
    table.replace({{"servers/e1", "{}", 3}, {"servers/" + highCharacters, "{}", 5'000'000'000}});
    EXPECT_EQ(hex(table.hash()), "45b213d14a957233");
}
