#include "relaytest.h"

#include <set>

namespace Verbena::Relay {

namespace {

using Test::chunk;
using Test::contains;
using Test::event;
using Test::streamHead;
using Test::WorkerScript;

constexpr const char *lastChunk = "\r\n0\r\n\r\n";

class StreamSoftwareTest : public Test::RelayTest
{
protected:
    // Starts with a backend server for each of \a versions; the first call is broken off after one event, and the others bring the second one.
    void startWithVersions(const std::vector<std::string> &versions)
    {
        m_workers.clear();
        m_relay->fleet().servers().replace({}, m_loop->now());
        m_relay->setConfiguration(configuration());
        for (std::size_t index = 0; index < versions.size(); ++index) {
            addWorker([this, version = versions[index]](const auto &head, const auto &) {
                m_runVersions.push_back(version);
                const bool isFirst = m_runVersions.size() == 1;
                return isFirst ? WorkerScript{streamHead(head) + chunk(event(1)), WorkerScript::End::Close}
                               : WorkerScript{streamHead(head) + chunk(event(2)) + "0\r\n\r\n"};
            });
            m_relay->fleet().servers().set({"server-" + std::to_string(index + 1), "s", m_workers.back()->address(), "hall", 6, false, {}, 0, versions[index]});
        }
        m_runVersions.clear();
    }

    std::vector<std::string> m_runVersions; ///< Software versions of the servers that ran the calls, in order.
};

// A stream that was broken off went on at any server of its service, also at one whose events do not fit to those before.
TEST_F(StreamSoftwareTest, continuesStreamsOnlyAtTheSoftwareVersionThatBeganThem)
{
    constexpr int streams = 40;
    for (int stream = 0; stream < streams; ++stream) {
        startWithVersions({"v1", "v1", "v2", "v2", "v3", "v3"});
        const std::string got = call(request("/resume/"), lastChunk);
        EXPECT_TRUE(contains(got, event(2))) << got;
        ASSERT_EQ(m_runVersions.size(), 2U);
        EXPECT_EQ(m_runVersions[0], m_runVersions[1]);
    }
}

TEST_F(StreamSoftwareTest, breaksOffAStreamWithoutAnotherServerOfItsSoftwareVersion)
{
    startWithVersions({"v1", "v2"});
    const std::string got = call(request("/resume/"), lastChunk);
    EXPECT_TRUE(contains(got, event(1)));
    EXPECT_FALSE(contains(got, lastChunk)) << got;
    EXPECT_EQ(runs(), 1U);
}

// No event of the stream has been passed on, so any version may begin it.
TEST_F(StreamSoftwareTest, sendsAStreamWithoutAnEventToAnySoftwareVersion)
{
    startWithVersions({"v1", "v2"});
    m_workers.clear();
    addWorker([](const auto &, const auto &) { return WorkerScript{"", WorkerScript::End::Reset}; });
    addWorker([](const auto &head, const auto &) { return WorkerScript{streamHead(head) + chunk(event(2)) + "0\r\n\r\n"}; });
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const std::string number = std::to_string(index + 1);
        m_relay->fleet().servers().set({"server-" + number, "s", m_workers[index]->address(), "hall", 6, false, {}, 0, "v" + number});
    }
    EXPECT_TRUE(contains(call(request("/resume/"), lastChunk), event(2)));
}

} // namespace

} // namespace Verbena::Relay
