#include <decisions/control/claimrecord.h>
#include <decisions/control/lease.h>
#include <decisions/relay/relaydirectory.h>
#include <decisions/relay/relayfleet.h>
#include <decisions/relay/rolloutplan.h>
#include <decisions/relay/weightsrecord.h>
#include <platform/loadfield.h>
#include <platform/nodefile.h>
#include <platform/platformdecoder.h>
#include <settings/settingsreader.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace Verbena::Platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

const Core::TimePoint start = Core::TimePoint() + 48h;
constexpr int queriesPerFleet = 8;
constexpr std::size_t longTextBytes = 5000;

const std::vector<json> &oddValues()
{
    static const std::vector<json> values{nullptr,
        false,
        -1,
        0,
        0.5,
        1e308,
        -1e308,
        std::uint64_t(1) << 31,
        std::uint64_t(1) << 53,
        std::uint64_t(1) << 63,
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::int64_t>::min(),
        "",
        ".",
        std::string(longTextBytes, 'x'),
        json::array(),
        json::object(),
        json::array({1, 1})};
    return values;
}

// Odd texts that stand for numbers in fields, rows and files.
rc::Gen<std::string> oddNumber()
{
    return rc::gen::element<std::string>(
        "0", "-1", "1", "3", "2147483648", "9007199254740992", "9223372036854775807", "18446744073709551615", "1e308", "nan", "inf", "", "-0", "x");
}

// Changes one part of a proper document, at any depth: replaces it, drops it, or names it twice.
void changePart(json &holder)
{
    auto part = std::next(holder.begin(), static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, holder.size())));
    if (part->is_structured() && !part->empty() && *rc::gen::inRange(0, 4) > 0) {
        changePart(*part);
        return;
    }
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        holder.erase(part);
        return;
    case 1:
        if (holder.is_array()) {
            holder.push_back(json(*part));
            return;
        }
        [[fallthrough]];
    default:
        *part = *rc::gen::elementOf(oddValues());
    }
}

json oddForm(json document)
{
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes && !document.empty(); ++change) {
        changePart(document);
    }
    return document;
}

json entry(int number)
{
    return {{"service", "reader"},
        {"address", "10.0.0." + std::to_string(number) + ":8000"},
        {"zone", "hall"},
        {"version", "1"},
        {"slots", 8},
        {"phase", "ready"},
        {"coldLeftMs", 0},
        {"sequence", 7},
        {"born", 1000 + number},
        {"models", json::array({{{"name", "m"}, {"version", 3}}, {{"name", "n"}, {"version", 1}}})}};
}

json configuration()
{
    return {{"version", 4},
        {"routes",
            json::array({{{"name", "r"},
                {"hostname", "a.example"},
                {"prefix", "/wall/"},
                {"service", "reader"},
                {"kind", "streaming"},
                {"timeoutMs", 6000},
                {"targetLatencyMs", 900},
                {"gapAimMs", 200},
                {"attempts", 2},
                {"priority", 3},
                {"public", false},
                {"resumable", true},
                {"trafficSplit", json::array({{{"service", "reader"}, {"weight", 0.9}}, {{"service", "writer"}, {"weight", 0.1}}})}}})},
        {"services", json::array({{{"name", "reader"}, {"healthPath", "/up"}, {"engine", {{"slots", 8}, {"kvCapacityTokens", 90000}}}}})},
        {"tenants", json::array({{{"name", "dams"}, {"apiKeys", json::array({"key"})}, {"dedicated", true}, {"ratePerS", 5}, {"burst", 10}, {"priority", 3}}})},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1000000}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 15000}}}};
}

Core::Result<Relay::DeploymentRow> decode(const std::string &table, const std::string &key, const json &value, std::uint64_t revision = 9)
{
    return PlatformDecoder().decode(table, {key, value.dump(-1, ' ', false, json::error_handler_t::replace), revision, false, {}});
}

Decisions::RegisteredServer properServer(int number)
{
    return std::get<Decisions::RegisteredServer>(decode("servers", std::to_string(number), entry(number)).value());
}

// A fleet of three proper servers, which all decisions on servers use.
class Fleet
{
public:
    Fleet()
        : m_fleet({}, {})
    {
        for (int number = 1; number <= 3; ++number) {
            m_fleet.servers().set(properServer(number));
        }
        m_fleet.recordWeightsAnnouncement("m", 3, start - 1h);
    }

    Decisions::RelayFleet &operator*()
    {
        return m_fleet;
    }

    // Makes every choice that requests need; each returns a known server.
    void use(Core::TimePoint now)
    {
        const Decisions::PromptOutline prompt{"m", {{"rules", 2500}, {"own", 2900}}, 5400, 60};
        for (int number = 0; number < queriesPerFleet; ++number) {
            choose(now, number % 2 == 0 ? &prompt : nullptr);
        }
        m_plan.update(m_fleet.weightsGoals());
        for (const auto &[id, server] : m_fleet.servers().servers()) {
            for (const Decisions::AnnouncedSlot &announced : m_plan.slots("m", id, 1, now)) {
                RC_ASSERT(weightsLoadTime(announced.slot, {}, {now, now}) <= now + 1min);
            }
        }
    }

    std::optional<Decisions::FleetChoice> choose(Core::TimePoint now, const Decisions::PromptOutline *prompt)
    {
        Decisions::FleetQuery query;
        query.service = "reader";
        query.route = "r";
        query.prompt = prompt;
        query.randomValue = ++m_queries * 7919;
        auto choice = m_fleet.choose(query, now);
        if (choice.has_value()) {
            RC_ASSERT(m_fleet.servers().servers().contains(choice->serverId));
            m_fleet.recordSent(*choice, now);
            m_fleet.recordAnswered(*choice, now + 50ms);
            m_fleet.recordWork(*choice, now + 50ms);
            RC_ASSERT(choice->expectedWait.value_or(0us) >= 0us);
        }
        return choice;
    }

private:
    Decisions::RelayFleet m_fleet;
    Decisions::RolloutPlan m_plan;
    std::uint64_t m_queries = 0;
};

void checkServer(const Decisions::RegisteredServer &server)
{
    RC_ASSERT(!server.id.empty() && !server.service.empty() && server.address.find(':') != std::string::npos);
    const auto isUnordered = [](const Decisions::ServedWeights &left, const Decisions::ServedWeights &right) {
        return left.model >= right.model;
    };
    RC_ASSERT(std::adjacent_find(server.weights.begin(), server.weights.end(), isUnordered) == server.weights.end());
}

void checkSpan(std::chrono::milliseconds span)
{
    RC_ASSERT(span >= 0ms && span <= 24h);
}

void checkConfiguration(const Decisions::RelayConfiguration &configuration)
{
    constexpr std::uint64_t exactNumbers = std::uint64_t(1) << 53;
    for (const Decisions::RelayRoute &route : configuration.routes) {
        checkSpan(route.timeout);
        checkSpan(route.latencyTarget);
        checkSpan(route.pauseTarget);
        RC_ASSERT(!route.services.empty());
        RC_ASSERT(route.attempts < std::numeric_limits<std::uint32_t>::max());
        const std::string &chosen = Decisions::RelayDirectory::service(route, *rc::gen::arbitrary<std::uint64_t>());
        const auto isChosen = [&chosen](const Decisions::ServiceShare &share) {
            return share.service == chosen;
        };
        RC_ASSERT(std::any_of(route.services.begin(), route.services.end(), isChosen));
    }
    for (const Decisions::RelayService &service : configuration.services) {
        RC_ASSERT(service.cacheTokens <= exactNumbers);
    }
    for (const Decisions::RelayOrganisation &organisation : configuration.organisations) {
        const Decisions::UsageCap cap = organisation.usageCap.value_or(Decisions::UsageCap());
        RC_ASSERT(std::isfinite(cap.perSecond) && std::isfinite(cap.burst) && std::isfinite(cap.plainCost));
        RC_ASSERT(cap.perSecond >= 0 && cap.burst >= 0 && cap.plainCost >= 0);
    }
    checkSpan(configuration.limits.headerTimeout);
    checkSpan(configuration.limits.idleTimeout);
    RC_ASSERT(configuration.limits.headerBytes <= exactNumbers && configuration.limits.bodyBytes <= exactNumbers);
}

} // namespace

TEST(OddRowsTest, fleetOutlivesAnyEntryAndForgetsItWhenItIsMended)
{
    EXPECT_TRUE(rc::check([] {
        Fleet fleet;
        const auto decoded = decode("servers", "2", oddForm(entry(2)));
        if (!decoded) {
            return;
        }
        const auto &server = std::get<Decisions::RegisteredServer>(decoded.value());
        checkServer(server);
        (*fleet).servers().set(server);
        fleet.use(start);
        Decisions::RegisteredServer mended = properServer(2);
        // An entry that goes back to an incarnation which was replaced is taken for a late one, and is not what this is about.
        mended.incarnation = server.incarnation;
        (*fleet).servers().set(mended);
        RC_ASSERT((*fleet).servers().servers().at("2").weights == mended.weights);
        const Decisions::PromptOutline prompt{"m", {{"own", 2900}}, 2900, 60};
        RC_ASSERT(fleet.choose(start + 1s, &prompt)->weightsVersion == std::optional<std::uint64_t>(3));
    }));
}

TEST(OddRowsTest, directoryServesAnyConfigurationThatIsTaken)
{
    EXPECT_TRUE(rc::check([] {
        auto decoded = decode("op", "config", oddForm(configuration()));
        if (!decoded) {
            return;
        }
        auto *configuration = std::get_if<Decisions::RelayConfiguration>(&decoded.value());
        RC_ASSERT(configuration != nullptr);
        checkConfiguration(*configuration);
        const Decisions::RelayDirectory directory(std::move(*configuration));
        (void)directory.route("a.example", "/wall/" + std::string(longTextBytes, '/'));
        (void)directory.organisation("key");
        checkSpan(directory.longestStream() / 2);
    }));
}

TEST(OddRowsTest, fleetOutlivesAnyAnnouncementAndReport)
{
    EXPECT_TRUE(rc::check([] {
        Fleet fleet;
        const auto decoded = decode("op", "version/m", oddForm({{"model", "m"}, {"version", 4}}));
        const auto *announced = decoded ? std::get_if<Relay::AnnouncedWeights>(&decoded.value()) : nullptr;
        if (announced != nullptr) {
            (*fleet).recordWeightsAnnouncement(announced->model, announced->version, start);
        }
        const auto any = rc::gen::element<std::uint64_t>(0, 1, 3, std::uint64_t(1) << 31, std::uint64_t(1) << 53, std::numeric_limits<std::uint64_t>::max());
        Decisions::EngineStatus status;
        status.weights = {{"m", *any}, {"", *any}};
        status.incarnation = *any;
        status.running = static_cast<std::uint32_t>(*any);
        status.waiting = static_cast<std::uint32_t>(*any);
        status.usedTokens = *any;
        status.totalTokens = *any;
        status.pace = *rc::gen::element(1e-300, 1.0, 1e308);
        status.parts.emplace(static_cast<std::size_t>(*rc::gen::inRange(0, 3)), Decisions::PartKey(*any));
        (*fleet).updateStatus("10.0.0.2:8000", status, start);
        (*fleet).applyLimitNews({"3", *any, *rc::gen::element(0.0, -1.0, 1e308, std::nan(""), std::numeric_limits<double>::infinity()), 0ms}, start);
        fleet.use(start);
        (*fleet).withdrawWeightsAbove("m", 3);
        fleet.use(start + 10s);
        RC_ASSERT((*fleet).weightsGoals().at("m").version <= 3U);
    }));
}

TEST(OddRowsTest, loadsOfAnswersAreSensibleOrNone)
{
    EXPECT_TRUE(rc::check([] {
        Fleet fleet;
        std::string text;
        const int fields = *rc::gen::inRange(0, 6);
        for (int field = 0; field < fields; ++field) {
            text += (field == 0 ? "" : ",") + *oddNumber();
        }
        const auto load = loadOf(text);
        if (load.has_value()) {
            RC_ASSERT(load->slots > 0);
            RC_ASSERT(load->pace.value_or(1) > 0 && std::isfinite(load->pace.value_or(1)));
            const Decisions::PromptOutline prompt{"m", {}, 100, 60};
            (*fleet).recordLoad(*fleet.choose(start, &prompt), *load, start);
        }
        fleet.use(start + 100ms);
    }));
}

TEST(OddRowsTest, recordsOfAnnouncementsAreOrderedAndReadAgain)
{
    EXPECT_TRUE(rc::check([] {
        std::string text;
        const int lines = *rc::gen::inRange(0, 40);
        for (int line = 0; line < lines; ++line) {
            text += *oddNumber() + ' ' + *oddNumber() + ' ' + *oddNumber() + '\n';
        }
        const auto record = Decisions::WeightsRecord::decode(text);
        if (!record) {
            return;
        }
        const auto &entries = record.value().entries();
        const auto isUnordered = [](const Decisions::DatedWeights &left, const Decisions::DatedWeights &right) {
            return left.version >= right.version;
        };
        RC_ASSERT(std::adjacent_find(entries.begin(), entries.end(), isUnordered) == entries.end());
        const auto again = Decisions::WeightsRecord::decode(record.value().encode());
        RC_ASSERT(again);
        RC_ASSERT(again.value().encode() == record.value().encode());
    }));
}

// A time beyond the clock's range was computed with, which has no defined result.
TEST(OddRowsTest, rowsOfClaimsAndLeasesHaveTimesThatAreWrittenAgain)
{
    EXPECT_TRUE(rc::check([] {
        const std::string time = *oddNumber();
        const auto claim = Decisions::ClaimRecord::decode("token\n7\n" + time + "\nclaimed\n");
        if (claim) {
            RC_ASSERT(claim.value().encode() == "token\n7\n" + std::to_string(std::stoll(time)) + "\nclaimed\n");
        }
        const auto lease = Decisions::LeaseRecord::decode("7 " + time + " token");
        if (lease) {
            RC_ASSERT(lease.value().encode() == "7 " + std::to_string(std::stoll(time)) + " token");
        }
    }));
}

TEST(OddRowsTest, boundsOfANodeFileAreFinite)
{
    EXPECT_TRUE(rc::check([] {
        std::string text = "nodeName: a\nip: 10.0.0.1\nprovider:\n  address: 10.0.0.9:1\nlisten: {}\nbounds:\n";
        for (const char *key : {"retryBudgetRatio", "retrySlack", "budgetWindowS", "quotaSlack", "graceS", "versionMs", "configApplyMs", "leaseMs"}) {
            text += std::string("  ") + key + ": " + *rc::gen::element<std::string>("0", "-0", "0.5", "1", "1e308", ".nan", ".inf", "-1") + '\n';
        }
        auto reader = Settings::SettingsReader::fromText(text, "boot.yaml");
        RC_ASSERT(reader);
        const NodeFile file = NodeFile::read(reader.value());
        RC_ASSERT(file.resendRatio >= 0 && file.resendRatio <= 1);
        RC_ASSERT(std::isfinite(file.resendSlack) && std::isfinite(file.usageSlack));
        for (const auto span : {file.resendWindow, file.shutdownGrace, file.longestWeightsUse, file.configurationTime, file.ordersHandOver}) {
            checkSpan(span);
        }
    }));
}

} // namespace Verbena::Platform
