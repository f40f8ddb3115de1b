#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t serverHost = 210;
constexpr milliseconds interval{100};
constexpr milliseconds lead{500}; // Requests are sent from so long before SIGTERM on.
constexpr milliseconds longestDelay{5000}; // A router that ends later than that is taken for one that does not end.

// Time after main() in which the address sanitizer looks for leaks before the process ends.
#ifdef __SANITIZE_ADDRESS__
constexpr milliseconds leakCheckTime{1000};
#else
constexpr milliseconds leakCheckTime{0};
#endif

/// \brief A caller with the time of its request.
struct Sent
{
    std::string id;
    milliseconds at; ///< Since SIGTERM.
    std::unique_ptr<CallerFake> caller;
};

/// \brief A router that is asked to end while requests come, some of which may be repeated, and its backend server.
class PlannedStopTest : public testing::Test
{
protected:
    void start(std::chrono::seconds grace)
    {
        m_grace = grace;
        m_deployment.setGrace(grace);
        m_deployment.restartRouter();
        nlohmann::json configuration = PlatformDeployment::configuration(9);
        configuration["routes"].push_back(route("/idempotent/", "idempotent"));
        configuration["routes"].push_back(route("/non_idempotent/", "non_idempotent"));
        configuration["services"].push_back({{"name", "plain"}});
        m_deployment.store().put("op", "config", configuration);
        m_deployment.store().put(
            "servers", "i-2", {{"service", "plain"}, {"address", m_server.address()}, {"zone", "hall"}, {"slots", 96}, {"phase", "ready"}, {"sequence", 1}});
        while (!isServing() && m_deployment.router().isRunning()) {
            m_sent.clear();
            sendRequests();
            m_deployment.runUntil(
                [this] { return std::all_of(m_sent.begin(), m_sent.end(), [](const Sent &sent) { return !sent.caller->received().empty(); }); });
        }
        m_sent.clear();
    }

    bool isServing() const
    {
        return !m_sent.empty()
            && std::all_of(m_sent.begin(), m_sent.end(), [](const Sent &sent) { return sent.caller->received().starts_with("HTTP/1.1 200"); });
    }

    void term()
    {
        m_deployment.router().sendSignal(SIGTERM);
        m_termAt = m_deployment.loop().now();
    }

    /// \brief Sends one request of each kind.
    void sendRequests()
    {
        for (const std::string kind : {"idempotent", "non_idempotent"}) {
            const std::string id = kind + std::to_string(++m_lastNumber);
            m_sent.push_back({id, sinceTerm(), std::make_unique<CallerFake>(m_deployment.loop(), m_deployment.callersEndpoint())});
            std::string request = "POST /" + kind;
            request.append("/a HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Deadline-Ms: 15000\r\nVerbenaladder-Attempt-Id: ").append(id);
            m_sent.back().caller->send(request.append("\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi"));
        }
    }

    void sendFor(milliseconds span)
    {
        for (milliseconds sent{0}; sent < span && m_deployment.router().isRunning(); sent += interval) {
            sendRequests();
            runWhileRouterRuns(interval);
        }
    }

    /// \brief Runs until the router's process has ended, but for \a longest at most.
    void runWhileRouterRuns(milliseconds longest)
    {
        const Core::TimePoint latest = m_deployment.loop().now() + longest;
        m_deployment.runUntil([this, latest] { return !m_deployment.router().isRunning() || m_deployment.loop().now() >= latest; });
    }

    void runUntilEnd()
    {
        runWhileRouterRuns(m_grace + longestDelay);
        m_endedAfter = sinceTerm();
        EXPECT_LT(m_endedAfter, m_grace + leakCheckTime);
        EXPECT_EQ(m_deployment.router().waitForExit(), 0);
        m_deployment.runFor(100ms);
    }

    /// \brief Sends requests from \a before SIGTERM to the end of the process, where the server takes \a workAfter for each from SIGTERM on.
    void playStop(milliseconds before, milliseconds workAfter)
    {
        m_termAt = m_deployment.loop().now() + before;
        sendFor(before);
        m_work = workAfter;
        term();
        sendFor(m_grace);
        runUntilEnd();
    }

    bool wasPassedOn(const Sent &sent) const
    {
        return std::any_of(m_server.heads().begin(), m_server.heads().end(), [&sent](const Http::MessageHead &head) {
            const std::string *id = head.field("Verbenaladder-Attempt-Id");
            return id != nullptr && *id == sent.id;
        });
    }

    void expectEachPassedOnIsAnswered() const
    {
        for (const Sent &sent : m_sent) {
            const std::string status = sent.caller->received().substr(0, 12);
            EXPECT_TRUE(!wasPassedOn(sent) || status == "HTTP/1.1 200") << sent.id << " sent at " << sent.at.count() << " ms: " << status;
        }
    }

    /// \brief Returns how many of the requests that were sent from \a from to \a to were answered with success.
    std::size_t countAnswered(milliseconds from, milliseconds to) const
    {
        const auto count = std::count_if(m_sent.begin(), m_sent.end(), [from, to](const Sent &sent) {
            return sent.at >= from && sent.at < to && sent.caller->received().starts_with("HTTP/1.1 200");
        });
        return static_cast<std::size_t>(count);
    }

    std::size_t countSent(milliseconds from, milliseconds to) const
    {
        return static_cast<std::size_t>(std::count_if(m_sent.begin(), m_sent.end(), [from, to](const Sent &sent) { return sent.at >= from && sent.at < to; }));
    }

    milliseconds sinceTerm() const
    {
        return std::chrono::duration_cast<milliseconds>(m_deployment.loop().now() - m_termAt);
    }

    mutable PlatformDeployment m_deployment;
    milliseconds m_work{0}; ///< Time that the server takes for each request.
    std::vector<Sent> m_sent;
    std::size_t m_lastNumber = 0;
    Core::TimePoint m_termAt;
    milliseconds m_endedAfter{0}; ///< Time from SIGTERM to the end of the process.

private:
    static nlohmann::json route(const std::string &prefix, const std::string &kind)
    {
        nlohmann::json route = PlatformDeployment::configuration(9)["routes"][0];
        route["name"] = kind;
        route["prefix"] = prefix;
        route["kind"] = kind;
        route["service"] = "plain";
        return route;
    }

    WorkerScript answer(const Http::MessageHead &head) const
    {
        const std::string *id = head.field("Verbenaladder-Attempt-Id");
        return {"HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + (id == nullptr ? "" : *id)
                + "\r\nVerbenaladder-Server-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok",
            WorkerScript::End::Keep,
            m_work};
    }

    std::chrono::seconds m_grace{8};
    WorkerFake m_server{
        m_deployment.loop(), [this](const Http::MessageHead &head, const std::string &) { return answer(head); }, m_deployment.hostNumber(serverHost) + ":0"};
};

// Short work that would have ended was refused when requests were refused by what is expected of them.
TEST_F(PlannedStopTest, servesShortWorkToTheEndOfItsNotice)
{
    start(8s);
    m_work = 300ms;
    playStop(lead, m_work);
    expectEachPassedOnIsAnswered();
    EXPECT_EQ(countAnswered(-lead, 2700ms), countSent(-lead, 2700ms));
}

// Work of some seconds was refused although it ends in time.
TEST_F(PlannedStopTest, servesWorkOfSecondsThatIsKnown)
{
    start(8s);
    m_work = 2s;
    playStop(3s, m_work);
    expectEachPassedOnIsAnswered();
    EXPECT_EQ(countAnswered(-3s, 2700ms), countSent(-3s, 2700ms));
}

// Work that takes longer than the rest of the grace period was passed on up to the end of the notice, and cut.
TEST_F(PlannedStopTest, passesOnNothingThatCannotEndInTime)
{
    start(8s);
    m_work = 6s;
    playStop(lead, m_work);
    expectEachPassedOnIsAnswered();
    EXPECT_EQ(countAnswered(-lead, 0ms), countSent(-lead, 0ms));
}

// The times that were learned before were relied on although nothing ended in them any more.
TEST_F(PlannedStopTest, noticesThatWorkTakesLongerDuringTheStop)
{
    start(8s);
    m_work = 300ms;
    playStop(2s, 6s);
    expectEachPassedOnIsAnswered();
}

// A router with a grace period of two seconds ended after three, and would have been killed.
TEST_F(PlannedStopTest, endsWithinAGraceOfTwoSeconds)
{
    start(2s);
    m_work = 500ms;
    playStop(lead, m_work);
    expectEachPassedOnIsAnswered();
    EXPECT_GT(countAnswered(0ms, 2s), 0U);
}

TEST_F(PlannedStopTest, endsWithinAGraceOfOneSecond)
{
    start(1s);
    m_work = 200ms;
    playStop(lead, m_work);
    expectEachPassedOnIsAnswered();
}

// What runs longer than the grace period gets an answer in time, and the last line says how much that was.
TEST_F(PlannedStopTest, answersAndCountsWhatItCuts)
{
    start(2s);
    m_work = 20s;
    sendRequests();
    m_deployment.runFor(interval);
    term();
    runUntilEnd();
    for (const Sent &sent : m_sent) {
        EXPECT_TRUE(sent.caller->received().starts_with("HTTP/1.1 502")) << sent.id << ": " << sent.caller->received();
    }
    EXPECT_NE(m_deployment.router().takeOutput().find("\"cut\":\"2\""), std::string::npos);
}

// A second SIGTERM and a SIGHUP neither end the router at once nor begin its time anew.
TEST_F(PlannedStopTest, goesOnAfterASecondTermAndAHangUp)
{
    start(2s);
    m_work = 300ms;
    sendRequests();
    term();
    m_deployment.runFor(200ms);
    m_deployment.router().sendSignal(SIGTERM);
    m_deployment.router().sendSignal(SIGHUP);
    sendFor(2s);
    runUntilEnd();
    expectEachPassedOnIsAnswered();
    EXPECT_GT(countAnswered(200ms, 2s), 0U);
}

// A router that was asked to end while it stood still counted its grace period from when it ran again.
TEST_F(PlannedStopTest, endsInTimeIfItStoodStillWhenItWasAsked)
{
    start(4s);
    m_work = 300ms;
    m_termAt = m_deployment.loop().now();
    sendFor(lead);
    m_deployment.router().sendSignal(SIGSTOP);
    term();
    m_deployment.runFor(1500ms);
    m_deployment.router().sendSignal(SIGCONT);
    sendFor(4s);
    runUntilEnd();
    expectEachPassedOnIsAnswered();
}

// A stall that was over when the router was asked to end was taken off its grace period, so that running requests were cut long before its end.
TEST_F(PlannedStopTest, keepsItsWholeGraceAfterAStallThatIsOver)
{
    start(4s);
    m_work = 2500ms;
    m_deployment.router().sendSignal(SIGSTOP);
    m_deployment.runFor(1500ms);
    m_deployment.router().sendSignal(SIGCONT);
    m_termAt = m_deployment.loop().now();
    sendRequests();
    m_deployment.runFor(40ms);
    term();
    runUntilEnd();
    expectEachPassedOnIsAnswered();
    EXPECT_EQ(countAnswered(-lead, lead), m_sent.size());
}

} // namespace

} // namespace Verbena::Test
