#include <platform/smallhosttest.h>
#include <support/socketqueues.h>

#include <algorithm>

#include <sys/resource.h>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t callers = 60;
constexpr std::size_t manyCallers = 600;
constexpr std::size_t answerBytes = 3'000'000;
constexpr std::size_t pieceBytes = 64 * 1024;
constexpr std::chrono::milliseconds pause{2000};

constexpr const char *longPath = "/load/long";

const std::string longBody(answerBytes, 'x');

class UnreadAnswersTest : public SmallHostTest
{
protected:
    UnreadAnswersTest()
        : SmallHostTest([](const Http::MessageHead &head, const std::string &) { return answer(head); })
    {
        allowManyDescriptors();
    }

    // The callers and the connections of the server are more than some systems let a process open unless it asks.
    static void allowManyDescriptors()
    {
        rlimit limit{};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
        limit.rlim_cur = limit.rlim_max;
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    }

    // Answers to longPath with longBody, and else without an end.
    static WorkerScript answer(const Http::MessageHead &head)
    {
        const std::string begin = answerHead(head, "200 OK");
        if (head.target == longPath) {
            return {begin + "Content-Length: " + std::to_string(answerBytes) + "\r\n\r\n" + longBody};
        }
        return {begin + "\r\n", WorkerScript::End::Keep, 0ms, std::string(pieceBytes, 'x')};
    }

    // Adds \a count callers that ask for \a path and do not read.
    void addSlowCallers(std::size_t count, const std::string &path)
    {
        for (std::size_t number = 0; number < count; ++number) {
            m_slow.push_back(ask(path));
            m_slow.back()->setReading(false);
        }
    }

    std::vector<std::unique_ptr<CallerFake>> m_slow;
};

// The system took megabytes of answers for each caller that did not read, more than the router's host had in all.
TEST_F(UnreadAnswersTest, systemHoldsMoreForCallersThatDoNotReadThanTheHostHas)
{
    addSlowCallers(callers, longPath);
    EXPECT_LT(mostWithin(pause, [this] { return unacknowledgedBytesFrom(m_deployment.callersEndpoint().address.sin_addr); }), roomBytes);
    EXPECT_TRUE(isServed());
    for (const auto &caller : m_slow) {
        caller->setReading(true);
    }
    EXPECT_TRUE(m_deployment.runUntil([this] { return std::all_of(m_slow.begin(), m_slow.end(), [](const auto &caller) { return caller->isClosed(); }); }));
    const auto isWhole = [](const auto &caller) {
        return caller->received().starts_with("HTTP/1.1 200") && caller->received().ends_with(longBody);
    };
    EXPECT_EQ(std::count_if(m_slow.begin(), m_slow.end(), isWhole), static_cast<std::ptrdiff_t>(callers));
}

// What servers had sent and the router had not read, as its callers did not, took as much again for each of many calls.
TEST_F(UnreadAnswersTest, systemHoldsMoreOfWhatServersHaveSentThanTheHostHas)
{
    addSlowCallers(manyCallers, "/load/endless");
    expectWithinHost(pause);
    EXPECT_TRUE(isServed());
}

} // namespace

} // namespace Verbena::Test
