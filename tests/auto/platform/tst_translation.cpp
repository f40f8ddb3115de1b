#include <http/endpoint.h>
#include <platform/nodefile.h>
#include <platform/platformdecoder.h>
#include <platform/platformprotocol.h>

#include <support/temporaryfolder.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Verbena::Platform {

namespace {

using namespace std::chrono_literals;
using Http::HttpField;
using Http::MessageHead;

const Core::TimePoint now = Core::TimePoint() + 1h;

MessageHead request(std::vector<HttpField> fields)
{
    MessageHead head;
    head.method = "POST";
    head.target = "/wall/2f?x=1";
    head.fields = std::move(fields);
    head.fields.insert(head.fields.begin(), {"Host", "jepu9.example"});
    return head;
}

std::string valueOf(const std::vector<HttpField> &fields, const std::string &name)
{
    std::string value;
    for (const HttpField &field : fields) {
        value += Http::isSameFieldName(field.name, name) ? field.value + ";" : "";
    }
    return value;
}

TEST(PlatformProtocolTest, readsWhatACallerSays)
{
    const PlatformProtocol protocol;
    const auto query = protocol.readQuery(request({{"verbenaladder-attempt-id", "9c41"},
                                              {"Verbenaladder-Model", "m"},
                                              {"Verbenaladder-Token-Count", "1460,80"},
                                              {"Verbenaladder-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410, e4402b7d:250"},
                                              {"Verbenaladder-Deadline-Ms", "6000"},
                                              {"Authorization", "Token secret"},
                                              {"Last-Event-Id", "12"}}),
        now);
    ASSERT_TRUE(query) << query.error().message;
    EXPECT_EQ(query.value().attemptId, "9c41");
    EXPECT_EQ(query.value().path, "/wall/2f");
    EXPECT_EQ(query.value().key, "secret");
    EXPECT_EQ(query.value().deadline, now + 6s);
    EXPECT_EQ(query.value().lastEventId, "12");
    ASSERT_TRUE(query.value().prompt.has_value());
    EXPECT_EQ(query.value().prompt->maximumOutputTokens, 80U);
    EXPECT_EQ(query.value().tokens, std::optional<std::uint64_t>(1540));
    ASSERT_EQ(query.value().prompt->parts.size(), 3U);
    EXPECT_EQ(query.value().prompt->parts[2].id, "e4402b7d");
    EXPECT_EQ(query.value().prompt->parts[2].tokens, 250U);
}

TEST(PlatformProtocolTest, refusesFieldsThatStandTwiceOrMakeNoSense)
{
    const PlatformProtocol protocol;
    EXPECT_FALSE(protocol.readQuery(request({{"Verbenaladder-Attempt-Id", "a"}, {"Verbenaladder-Attempt-Id", "b"}}), now));
    EXPECT_FALSE(protocol.readQuery(request({{"Authorization", "Token a"}, {"authorization", "Token b"}}), now));
    EXPECT_FALSE(protocol.readQuery(request({{"Verbenaladder-Deadline-Ms", "soon"}}), now));
    EXPECT_FALSE(protocol.readQuery(request({{"Verbenaladder-Model", "m"}, {"Verbenaladder-Prompt-Prefix", "a:b"}}), now));
    MessageHead head = request({});
    head.fields.clear();
    EXPECT_FALSE(protocol.readQuery(head, now));
}

// A deadline far away lay in the past, as its moment could not be computed, and its request was refused at once.
TEST(PlatformProtocolTest, deadlineFarAwayLiesInThePast)
{
    for (const char *far : {"9223372036854775807", "9300000000000", "86400001"}) {
        const auto query = PlatformProtocol().readQuery(request({{"Verbenaladder-Deadline-Ms", far}}), now);
        ASSERT_TRUE(query);
        EXPECT_EQ(query.value().deadline, now + 24h) << far;
    }
}

// Whatever a caller invents, a backend server sees only the router's word on who asks and how it is to be run.
TEST(PlatformProtocolTest, passesNothingOnThatIsTheRoutersToSay)
{
    const PlatformProtocol protocol;
    Relay::CallContext context;
    context.serverId = "i-1";
    context.organisation = "dams";
    context.timeLeft = 1200ms;
    const auto fields = protocol.callFields(request({{"Authorization", "Token secret"},
                                                {"VERBENALADDER-TENANT", "forged"},
                                                {"Verbenaladder-Hold", "h"},
                                                {"Verbenaladder-Pin-Ms", "1"},
                                                {"Verbenaladder-Kv-Backup", "1.2.3.4:5"},
                                                {"Verbenaladder-Kv-Fetch", "1.2.3.4:5"},
                                                {"Verbenaladder-Cache-Salt", "forged"},
                                                {"Verbenaladder-Request-Priority", "0"},
                                                {"Verbenaladder-Expect-Instance", "i-9"},
                                                {"Verbenaladder-Deadline-Ms", "99999"},
                                                {"Kv-From", "1.2.3.4:5/x"},
                                                {"Connection", "close, X-Hop"},
                                                {"X-Hop", "1"},
                                                {"Transfer-Encoding", "chunked"},
                                                {"Verbenaladder-Attempt-Id", "9c41"},
                                                {"Accept", "text/event-stream"}}),
        context);
    EXPECT_EQ(valueOf(fields, "Verbenaladder-Tenant"), "dams;");
    EXPECT_EQ(valueOf(fields, "Verbenaladder-Expect-Instance"), "i-1;");
    EXPECT_EQ(valueOf(fields, "Verbenaladder-Deadline-Ms"), "1200;");
    EXPECT_EQ(valueOf(fields, "Verbenaladder-Attempt-Id"), "9c41;");
    EXPECT_EQ(valueOf(fields, "Accept"), "text/event-stream;");
    for (const char *name : {"Authorization",
             "Verbenaladder-Hold",
             "Verbenaladder-Pin-Ms",
             "Verbenaladder-Kv-Backup",
             "Verbenaladder-Kv-Fetch",
             "Verbenaladder-Cache-Salt",
             "Verbenaladder-Request-Priority",
             "Kv-From",
             "Connection",
             "X-Hop",
             "Transfer-Encoding"}) {
        EXPECT_EQ(valueOf(fields, name), "") << name;
    }
}

TEST(PlatformProtocolTest, readsAnAnswersMarks)
{
    const PlatformProtocol protocol;
    MessageHead head;
    head.status = 503;
    head.fields = {{"Verbenaladder-Not-Run", "1"}, {"Verbenaladder-Instance-Load", "3,1,8"}, {"Verbenaladder-Weight-Versions", "4"}};
    const Relay::AnswerMarks marks = protocol.readAnswer(head);
    EXPECT_TRUE(marks.isNotRun);
    EXPECT_FALSE(marks.hasReceipt);
    EXPECT_EQ(marks.load, std::optional(Decisions::ServerLoad{3, 1, 8, std::nullopt}));
    EXPECT_EQ(marks.weightsVersion, std::optional<std::uint64_t>(4));
}

// A load that cannot be understood must neither keep requests away nor draw them.
TEST(PlatformProtocolTest, readsTheLoadOfABackendServer)
{
    const auto loadOf = [](const std::string &text) {
        MessageHead head;
        head.fields = {{"Verbenaladder-Instance-Load", text}};
        return PlatformProtocol().readAnswer(head).load;
    };
    EXPECT_EQ(loadOf("3,1,8,250"), std::optional(Decisions::ServerLoad{3, 1, 8, 2.5}));
    EXPECT_EQ(loadOf("3, 1, 8, 100"), std::optional(Decisions::ServerLoad{3, 1, 8, 1.0}));
    for (const char *text : {"3,1,8", "3,1,8,0", "3,1,8,10001", "3,1,8,999999999999"}) {
        EXPECT_EQ(loadOf(text), std::optional(Decisions::ServerLoad{3, 1, 8, std::nullopt})) << text;
    }
    for (const char *text : {"",
             ",",
             "3",
             "3,1",
             ",,",
             ",,,",
             "3,1,",
             "3,1,8,",
             "3,1,8,,",
             "3,1,8,100,1",
             "-3,1,8",
             "3,-1,8",
             "3,1,-8",
             "3,1,0",
             "3,1,8,-100",
             "3,1,8,nan",
             "3,1,8,inf",
             "3,1,8,1e999",
             "a,1,8,100",
             "3,1,8,fast",
             "3,1,8.5",
             "1000001,0,8",
             "3,99999999999999999999,8,100",
             "3;1;8"}) {
        EXPECT_EQ(loadOf(text), std::nullopt) << text;
    }
    MessageHead twice;
    twice.fields = {{"Verbenaladder-Instance-Load", "3,1,8,100"}, {"Verbenaladder-Instance-Load", "0,0,8,100"}};
    EXPECT_EQ(PlatformProtocol().readAnswer(twice).load, std::nullopt);
}

// A limit that cannot be understood must not keep requests away.
TEST(PlatformProtocolTest, readsTheLimitOfABackendServer)
{
    const auto limitOf = [](const char *text) {
        MessageHead head;
        head.fields = {{"Server-Limit", text}};
        return PlatformProtocol().readAnswer(head).limit;
    };
    EXPECT_EQ(limitOf("2.5"), std::optional(2.5));
    EXPECT_EQ(limitOf(" 0"), std::optional(0.0));
    for (const char *text : {"", "-1", "nan", "inf", "1e999", "two", "2 a second"}) {
        EXPECT_EQ(limitOf(text), std::nullopt) << text;
    }
}

TEST(PlatformProtocolTest, readsWhetherABackendServerLeaves)
{
    const auto isLeaving = [](const char *text) {
        MessageHead head;
        head.fields = {{"Server-Leaving", text}};
        return PlatformProtocol().readAnswer(head).isLeaving;
    };
    EXPECT_TRUE(isLeaving("1"));
    EXPECT_FALSE(isLeaving("0"));
    EXPECT_FALSE(isLeaving(""));
    EXPECT_FALSE(PlatformProtocol().readAnswer(MessageHead()).isLeaving);
}

// What is no number of seconds must not keep requests away, and a number that no clock can hold must not overflow.
TEST(PlatformProtocolTest, readsTheRestThatABackendServerAsksFor)
{
    const auto restOf = [](const char *text, int status = 503) {
        MessageHead head;
        head.status = status;
        head.fields = {{"Retry-After", text}};
        return PlatformProtocol().readAnswer(head).rest;
    };
    EXPECT_EQ(restOf("3"), std::optional(std::chrono::milliseconds(3000)));
    EXPECT_EQ(restOf(" 0.25 "), std::optional(std::chrono::milliseconds(250)));
    EXPECT_TRUE(restOf("1e300").has_value());
    EXPECT_EQ(restOf("3", 200), std::nullopt);
    for (const char *text : {"", "-1", "nan", "inf", "soon", "3 s", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
        EXPECT_EQ(restOf(text), std::nullopt) << text;
    }
    MessageHead twice;
    twice.status = 503;
    twice.fields = {{"Retry-After", "1"}, {"Retry-After", "2"}};
    EXPECT_EQ(PlatformProtocol().readAnswer(twice).rest, std::nullopt);
}

TEST(PlatformProtocolTest, tellsARefusedCallerWhenToComeBack)
{
    const auto fields = PlatformProtocol().refusalFields({503, "", 250ms}, "9c41");
    EXPECT_EQ(valueOf(fields, "Retry-After"), "0.250;");
    EXPECT_EQ(valueOf(fields, "Verbenaladder-Attempt-Id"), "9c41;");
}

constexpr const char *configurationText = R"({"version":7,
  "routes":[{"name":"r1","hostname":"a.example","prefix":"/x/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":400,"priority":1,
             "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,"public":false,"sticky":true,"resumable":true},
            {"name":"r2","hostname":"a.example","prefix":"/y/","kind":"idempotent","timeoutMs":800.5,"service":"s2","attempts":1,"public":true}],
  "services":[{"name":"s1","engine":{"slots":96,"kvCapacityTokens":1000}},{"name":"k","kvStoreAddr":"1.2.3.4:5","kvCapacityTokens":2000}],
  "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},
  "tenants":[{"name":"t1","apiKeys":["k1"],"priority":3,"dedicated":true},
             {"name":"t2","apiKeys":["k2"],"unit":"tokens","plainTokens":200,"ratePerS":952931,"burst":52931.5},
             {"name":"t3","apiKeys":["k3"],"ratePerS":0,"burst":0}],"unknown":{}})";

TEST(PlatformDecoderTest, understandsAConfiguration)
{
    const auto row = PlatformDecoder().decode("op", {"config", configurationText, 1, false});
    ASSERT_TRUE(row) << row.error().message;
    const auto &configuration = std::get<Decisions::RelayConfiguration>(row.value());
    EXPECT_EQ(configuration.version, 7U);
    ASSERT_EQ(configuration.routes.size(), 2U);
    EXPECT_EQ(configuration.routes[0].kind, Decisions::RequestKind::Streaming);
    EXPECT_TRUE(configuration.routes[0].isRepeatable());
    EXPECT_EQ(configuration.routes[0].services.size(), 2U);
    EXPECT_EQ(configuration.routes[1].timeout, 800ms);
    EXPECT_TRUE(configuration.routes[1].isPublic);
    EXPECT_EQ(configuration.services[1].cacheStore, "1.2.3.4:5");
    EXPECT_EQ(configuration.services[0].engineSlots, 96U);
    EXPECT_EQ(configuration.limits.bodyBytes, 200U);
    EXPECT_TRUE(configuration.organisations[0].isDedicated);
    EXPECT_EQ(configuration.organisations[0].priority, std::optional<std::uint32_t>(3));
    EXPECT_FALSE(configuration.organisations[0].usageCap.has_value());
    EXPECT_EQ(configuration.organisations[1].usageCap, (Decisions::UsageCap{952931, 52931.5, true, 200}));
    EXPECT_FALSE(configuration.organisations[2].usageCap.has_value());
}

TEST(PlatformDecoderTest, understandsEntriesOfServersAndNamesOfWeights)
{
    const PlatformDecoder decoder;
    const std::string entry
        = R"({"service":"s1","address":"1.2.3.4:5","zone":"hall","slots":96,"phase":"draining","models":[{"name":"m","version":3,"adapters":[]}],"sequence":4})";
    const auto server = decoder.decode("servers", {"i-1", entry, 1, false});
    ASSERT_TRUE(server);
    EXPECT_TRUE(std::get<Decisions::RegisteredServer>(server.value()).isLeaving);
    EXPECT_EQ(std::get<Decisions::RegisteredServer>(server.value()).weights.front().version, 3U);
    const auto removed = decoder.decode("servers", {"i-1", "", 2, true});
    EXPECT_EQ(std::get<Relay::RemovedServer>(removed.value()).id, "i-1");
    const auto weights = decoder.decode("op", {"version/m", R"({"model":"m","version":5})", 3, false});
    EXPECT_EQ(std::get<Relay::AnnouncedWeights>(weights.value()).version, 5U);
    EXPECT_TRUE(std::holds_alternative<std::monostate>(decoder.decode("op", {"other", "{", 3, false}).value()));
}

// A server counted twice among those of a model that its entry named twice, and the choice among them had no end.
TEST(PlatformDecoderTest, modelThatIsNamedTwiceCountsTwice)
{
    for (const char *models :
        {R"([{"name":"m","version":1},{"name":"m","version":1}])", R"([{"name":"m","version":2},{"name":"n","version":7},{"name":"m","version":1}])"}) {
        const std::string entry
            = R"({"service":"s1","address":"1.2.3.4:5","zone":"hall","slots":96,"phase":"ready","sequence":4,"models":)" + std::string(models) + "}";
        const auto server = PlatformDecoder().decode("servers", {"i-1", entry, 1, false});
        ASSERT_TRUE(server);
        const Decisions::ServedModels &served = std::get<Decisions::RegisteredServer>(server.value()).weights;
        EXPECT_EQ(std::count_if(served.begin(), served.end(), [](const Decisions::ServedWeights &weights) { return weights.model == "m"; }), 1);
        EXPECT_EQ(served.size(), served.versionOf("n").has_value() ? 2U : 1U);
        EXPECT_EQ(served.versionOf("m"), 1U);
    }
}

nlohmann::json registeredEntry()
{
    return nlohmann::json::parse(
        R"({"service":"s1","address":"1.2.3.4:5","zone":"hall","version":"v1","slots":96,"phase":"ready","coldLeftMs":0,"stage":"combined",)"
        R"("models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1770000000123})");
}

TEST(PlatformDecoderTest, readsWhichStartAnEntryIsOf)
{
    const auto server = PlatformDecoder().decode("servers", {"i-1", registeredEntry().dump(), 1, false});
    ASSERT_TRUE(server) << server.error().message;
    EXPECT_EQ(std::get<Decisions::RegisteredServer>(server.value()).incarnation, 1'770'000'000'123U);
}

TEST(PlatformDecoderTest, takesNoServerFromAnEntryThatNobodyOfOursWrote)
{
    const PlatformDecoder decoder;
    const auto isTaken = [&decoder](const nlohmann::json &entry) {
        return static_cast<bool>(decoder.decode("servers", {"i-1", entry.dump(), 1, false}));
    };
    for (const auto &[key, value] : std::vector<std::pair<std::string, nlohmann::json>>{{"phase", "resting"},
             {"service", ""},
             {"address", "nowhere"},
             {"slots", -1},
             {"slots", 1e300},
             {"slots", "96"},
             {"born", 12.5},
             {"born", "yesterday"},
             {"models", nlohmann::json::object()},
             {"models", {{{"name", 7}, {"version", 1}}}},
             {"models", {{{"name", "m"}, {"version", -3}}}},
             {"models", {"m"}}}) {
        nlohmann::json entry = registeredEntry();
        entry[key] = value;
        EXPECT_FALSE(isTaken(entry)) << entry.dump();
    }
    EXPECT_FALSE(isTaken(nlohmann::json::array()));
    EXPECT_FALSE(isTaken("text"));
    EXPECT_FALSE(decoder.decode("servers", {"i-1", "\xff\xfe{", 1, false}));
    EXPECT_FALSE(decoder.decode("servers", {"i-1", "", 1, false}));
}

// Any one field that is missing or of another type makes the entry somebody else's.
TEST(PlatformDecoderTest, takesNoServerFromAnEntryWithOneFieldWrong)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> needed{"service", "address", "zone", "slots", "phase", "sequence"};
        const std::vector<nlohmann::json> others{nullptr, true, -7, 2.5, nlohmann::json::array({1}), nlohmann::json::object({{"a", 1}}), "some text"};
        nlohmann::json entry = registeredEntry();
        const std::string &key = needed[*rc::gen::inRange<std::size_t>(0, needed.size())];
        const std::size_t way = *rc::gen::inRange<std::size_t>(0, others.size() + 1);
        if (way == others.size()) {
            entry.erase(key);
        } else {
            // Names of services and failure domains may be any text.
            RC_PRE(!(others[way].is_string() && (key == "service" || key == "zone")));
            entry[key] = others[way];
        }
        RC_ASSERT(!PlatformDecoder().decode("servers", {"i-1", entry.dump(), 1, false}));
    }));
}

// A nested value was written out by recursion, which ended each router that read the row, again after each start.
TEST(PlatformDecoderTest, survivesAnEntryNestedTooDeep)
{
    for (const std::size_t depth : {100, 100'000, 5'000'000}) {
        for (const char *key : {"version", "service", "models", "born", "other"}) {
            nlohmann::json entry = registeredEntry();
            entry.erase(key);
            std::string text = entry.dump();
            text.pop_back();
            text += std::string(",\"") + key + "\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
            EXPECT_FALSE(PlatformDecoder().decode("servers", {"i-1", text, 1, false})) << key << ' ' << depth;
            EXPECT_FALSE(PlatformDecoder().decode("op", {"config", text, 1, false})) << key << ' ' << depth;
        }
    }
}

TEST(PlatformDecoderTest, takesNoServerFromAKeyOrAddressThatCannotBePassedOn)
{
    for (const char *key : {"", "a b", "a\r\nX: 1", "\xc3\xbc"}) {
        EXPECT_FALSE(PlatformDecoder().decode("servers", {key, registeredEntry().dump(), 1, false})) << key;
    }
    for (const char *address : {"1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:99999999999999999999", "1.2.3.4:-1"}) {
        nlohmann::json entry = registeredEntry();
        entry["address"] = address;
        EXPECT_FALSE(PlatformDecoder().decode("servers", {"i-1", entry.dump(), 1, false})) << address;
    }
}

// Numbers beyond their type were converted, to anything.
TEST(PlatformDecoderTest, takesNoNumberThatIsNoVersion)
{
    for (const char *number : {"-1", "1.5", "1e300", "99999999999999999999999", "\"7\"", "null"}) {
        const std::string version = std::string(R"({"version":)") + number;
        EXPECT_FALSE(PlatformDecoder().decode("op", {"config", version + R"(,"routes":[],"services":[]})", 1, false})) << number;
        EXPECT_FALSE(PlatformDecoder().decode("op", {"version/m", version + R"(,"model":"m"})", 1, false})) << number;
    }
}

rc::Gen<nlohmann::json> anyValue(int depth)
{
    rc::Gen<nlohmann::json> plain = rc::gen::oneOf(rc::gen::map(rc::gen::arbitrary<double>(), [](double value) { return nlohmann::json(value); }),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t value) { return nlohmann::json(value); }),
        rc::gen::map(rc::gen::inRange(0, 400), [](int size) { return nlohmann::json(std::string(static_cast<std::size_t>(size), 'x')); }),
        rc::gen::elementOf(std::vector<nlohmann::json>{nullptr, true, "ready", "", 1e300, std::numeric_limits<std::uint64_t>::max()}));
    if (depth == 0) {
        return plain;
    }
    const auto nested = rc::gen::map(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::pair(anyValue(depth - 1), anyValue(depth - 1))),
        [](const std::pair<bool, std::pair<nlohmann::json, nlohmann::json>> &drawn) {
            const auto &[isList, values] = drawn;
            return isList ? nlohmann::json::array({values.first, values.second}) : nlohmann::json{{"name", values.first}, {"version", values.second}};
        });
    return rc::gen::oneOf(plain, nested);
}

// Whatever another program writes into one field, the entry names a server that can be passed on, or none.
TEST(PlatformDecoderTest, survivesAnyValueInAnyField)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> keys{"service", "address", "zone", "version", "slots", "phase", "sequence", "models", "born", "coldLeftMs"};
        nlohmann::json entry = registeredEntry();
        entry[*rc::gen::elementOf(keys)] = *anyValue(3);
        const auto row = PlatformDecoder().decode("servers", {"i-1", entry.dump(), 1, false});
        if (row) {
            const auto &server = std::get<Decisions::RegisteredServer>(row.value());
            RC_ASSERT(server.service.size() + server.softwareVersion.size() + server.failureDomain.size() <= 3 * 200U);
            RC_ASSERT(Http::Endpoint::parse(server.address).has_value());
        }
        (void)PlatformDecoder().decode("op", {"config", entry.dump(), 1, false});
    }));
}

TEST(PlatformDecoderTest, namesTheRowThatItCannotUnderstand)
{
    const auto row = PlatformDecoder().decode("op", {"config", R"({"version":"seven","routes":[],"services":[]})", 1, false});
    ASSERT_FALSE(row);
    EXPECT_EQ(row.error().peer, "op/config");
}

// Nothing that the store hands out may end the process.
TEST(PlatformDecoderTest, survivesAnyText)
{
    EXPECT_TRUE(rc::check([] {
        std::string text = configurationText;
        const auto cuts = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
        for (const auto &[place, character] : cuts) {
            text[place] = character;
        }
        const PlatformDecoder decoder;
        (void)decoder.decode("op", {"config", text, 1, false});
        (void)decoder.decode("op", {"version/m", text, 1, false});
        (void)decoder.decode("servers", {"i-1", text, 1, false});
    }));
}

constexpr const char *nodeText = R"(nodeName: "front-1"
ip: "10.1.0.30"
zone: "hall"
listen:
  front: "10.1.0.30:8782"
  ready: "10.1.0.30:8789"
portRange:
  - 7340
  - 7355
bounds:
  graceS: 8
  retryBudgetRatio: 0.2
  retrySlack: 54
  quotaSlack: 72000
  budgetWindowS: 10
  versionMs: 8000
limits:
  memoryMb: 110
  maxFds: 4200
provider:
  address: "10.200.1.7:8784"
somethingNew: {a: 1}
)";

TEST(NodeFileTest, readsWhatItNeedsAndLeavesTheRestAlone)
{
    const Verbena::Test::TemporaryFolder folder;
    const auto file = NodeFile::fromFile(folder.write("boot.yaml", nodeText));
    ASSERT_TRUE(file) << file.error().message;
    EXPECT_EQ(file.value().callersEndpoint, "10.1.0.30:8782");
    EXPECT_EQ(file.value().peerPorts.front(), "7340");
    EXPECT_EQ(file.value().usageSlack, 72000);
    EXPECT_EQ(file.value().shutdownGrace, 8s);
    EXPECT_EQ(file.value().longestWeightsUse, 8s);
    EXPECT_EQ(file.value().resendWindow, 10s);
    EXPECT_EQ(file.value().resendSlack, 54);
    EXPECT_EQ(file.value().memoryBytes, 110'000'000U);
    EXPECT_EQ(file.value().descriptors, 4200U);
}

TEST(NodeFileTest, namesEachFieldThatIsWrong)
{
    const Verbena::Test::TemporaryFolder folder;
    const auto file = NodeFile::fromFile(folder.write("boot.yaml", "nodeName: \"a\"\nbounds:\n  retryBudgetRatio: 7\n"));
    ASSERT_FALSE(file);
    EXPECT_NE(file.error().message.find("ip"), std::string::npos);
    EXPECT_NE(file.error().message.find("provider.address"), std::string::npos);
    EXPECT_NE(file.error().message.find("bounds.retryBudgetRatio"), std::string::npos);
}

} // namespace

} // namespace Verbena::Platform
