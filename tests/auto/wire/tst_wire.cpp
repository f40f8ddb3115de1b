#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <support/temporaryfolder.h>
#include <wire/curvekeys.h>
#include <wire/messagesocket.h>
#include <wire/peerauthenticator.h>

#include <gtest/gtest.h>
#include <zmq.h>

#include <functional>

namespace Verbena::Test {

namespace {

using Wire::ConnectionChange;
using Wire::CurveKeys;
using Wire::MessageSocket;
using Wire::PeerAuthenticator;
using Wire::SocketSecurity;

constexpr std::chrono::seconds timeout{30};
constexpr std::chrono::milliseconds repeatInterval{5};

/// \brief Records the messages and connection changes of a socket.
class Recorder : public Wire::MessageReceiver
{
public:
    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override
    {
        lastPeer = peer;
        names.push_back(message.hello().name());
    }

    void receiveInvalidMessage(const std::string &) override
    {
        ++invalidCount;
    }

    void connectionChanged(ConnectionChange change, const std::string &) override
    {
        lostCount += change == ConnectionChange::Lost ? 1 : 0;
    }

    std::string lastPeer;
    std::vector<std::string> names;
    int invalidCount = 0;
    int lostCount = 0;
};

class WireTest : public testing::Test
{
protected:
    WireTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_authenticator(PeerAuthenticator::create(*m_loop, m_context).value())
        , m_serverKeys(CurveKeys::generate().value())
        , m_clientKeys(CurveKeys::generate().value())
    {
    }

    /// \brief Runs the loop until \a isDone returns true; calls \a repeat in each iteration.
    bool runUntil(const std::function<bool()> &isDone, const std::function<void()> &repeat = {})
    {
        const Core::TimePoint end = m_loop->now() + timeout;
        EventLoop::Timer timer(*m_loop, [&] {
            if (isDone() || m_loop->now() > end) {
                m_loop->stop();
                return;
            }
            if (repeat) {
                repeat();
            }
            timer.startAt(m_loop->now() + repeatInterval);
        });
        timer.startAt(m_loop->now());
        m_loop->run();
        return isDone();
    }

    std::unique_ptr<MessageSocket> bindServer(Recorder &recorder)
    {
        const SocketSecurity security{m_serverKeys.publicKey, m_serverKeys.secretKey, {}};
        return std::move(MessageSocket::bind(*m_loop, m_context, "tcp://127.0.0.1:*", security, recorder).value());
    }

    std::unique_ptr<MessageSocket> connectClient(const CurveKeys &keys, const std::string &endpoint, Recorder &recorder)
    {
        const SocketSecurity security{keys.publicKey, keys.secretKey, m_serverKeys.publicKey};
        return std::move(MessageSocket::connect(*m_loop, m_context, endpoint, security, recorder).value());
    }

    /// \brief Returns a socket that sends what the test gives it, connected to \a endpoint; the caller closes it.
    void *connectRaw(const std::string &endpoint)
    {
        void *socket = zmq_socket(m_context.handle(), ZMQ_DEALER);
        const int linger = 0;
        zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof linger);
        zmq_connect(socket, endpoint.c_str());
        return socket;
    }

    static void sendHello(MessageSocket &socket, const std::string &name)
    {
        verbena::wire::Envelope envelope;
        envelope.mutable_hello()->set_name(name);
        static_cast<void>(socket.send({}, envelope));
    }

    Wire::MessageContext m_context;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    CurveKeys m_serverKeys;
    CurveKeys m_clientKeys;
};

TEST_F(WireTest, acceptsAPeerWithAnAllowedKey)
{
    m_authenticator->setAllowedKeys({m_clientKeys.publicKey});
    Recorder server;
    Recorder client;
    const auto bound = bindServer(server);
    const auto connected = connectClient(m_clientKeys, bound->endpoint(), client);
    EXPECT_TRUE(runUntil([&] { return !server.names.empty(); }, [&] { sendHello(*connected, "router1"); }));
    EXPECT_EQ(m_authenticator->refusedCount(), 0U);
}

TEST_F(WireTest, refusesAnUnknownKeyUntilItIsAllowed)
{
    Recorder server;
    Recorder client;
    const auto bound = bindServer(server);
    const auto connected = connectClient(m_clientKeys, bound->endpoint(), client);
    EXPECT_TRUE(runUntil([&] { return m_authenticator->refusedCount() > 0; }, [&] { sendHello(*connected, "router1"); }));
    EXPECT_TRUE(server.names.empty());
    m_authenticator->setAllowedKeys({m_clientKeys.publicKey});
    EXPECT_TRUE(runUntil([&] { return !server.names.empty(); }, [&] { sendHello(*connected, "router1"); }));
}

TEST_F(WireTest, refusesAPeerWithoutEncryption)
{
    m_authenticator->setAllowedKeys({m_clientKeys.publicKey});
    Recorder server;
    Recorder plain;
    Recorder client;
    const auto bound = bindServer(server);
    const auto plainSocket = std::move(MessageSocket::connect(*m_loop, m_context, bound->endpoint(), {}, plain).value());
    const auto connected = connectClient(m_clientKeys, bound->endpoint(), client);
    EXPECT_TRUE(runUntil([&] { return server.names.size() >= 5; },
        [&] {
            sendHello(*plainSocket, "plain");
            sendHello(*connected, "encrypted");
        }));
    EXPECT_EQ(std::count(server.names.begin(), server.names.end(), "plain"), 0);
}

TEST_F(WireTest, notifiesBothSidesThatAPeerIsGone)
{
    m_authenticator->setAllowedKeys({m_clientKeys.publicKey});
    Recorder server;
    Recorder client;
    auto bound = bindServer(server);
    auto connected = connectClient(m_clientKeys, bound->endpoint(), client);
    ASSERT_TRUE(runUntil([&] { return !server.names.empty(); }, [&] { sendHello(*connected, "router1"); }));
    const std::string peer = server.lastPeer;
    verbena::wire::Envelope welcome;
    welcome.mutable_welcome();
    EXPECT_TRUE(bound->send(peer, welcome));
    connected.reset();
    EXPECT_TRUE(runUntil([&] { return server.lostCount > 0; }));
    EXPECT_TRUE(runUntil([&] { return !bound->send(peer, welcome); }));
    EXPECT_EQ(bound->send(peer, welcome).error().code, Core::ErrorCode::Unavailable);

    Recorder other;
    connected = connectClient(m_clientKeys, bound->endpoint(), other);
    server.names.clear();
    ASSERT_TRUE(runUntil([&] { return !server.names.empty(); }, [&] { sendHello(*connected, "router1"); }));
    bound.reset();
    EXPECT_TRUE(runUntil([&] { return other.lostCount > 0; }));
}

TEST_F(WireTest, reportsInvalidMessages)
{
    Recorder server;
    const auto bound = std::move(MessageSocket::bind(*m_loop, m_context, "tcp://127.0.0.1:*", {}, server).value());
    void *socket = connectRaw(bound->endpoint());
    zmq_send(socket, "", 0, 0);
    zmq_send(socket, "\xff\xff\xff", 3, 0);
    zmq_send(socket, "a", 1, ZMQ_SNDMORE);
    zmq_send(socket, "b", 1, 0);
    EXPECT_TRUE(runUntil([&] { return server.invalidCount == 3; }));
    zmq_close(socket);
}

// One message of any length was held whole before anybody looked at it.
TEST_F(WireTest, losesAPeerThatSendsATooLongMessage)
{
    Recorder server;
    const auto bound = std::move(MessageSocket::bind(*m_loop, m_context, "tcp://127.0.0.1:*", {}, server).value());
    void *socket = connectRaw(bound->endpoint());
    const std::string message(80 * 1024 * 1024, '\xff');
    zmq_send(socket, message.data(), message.size(), 0);
    EXPECT_TRUE(runUntil([&] { return server.lostCount > 0 || server.invalidCount > 0; }));
    EXPECT_EQ(server.invalidCount, 0);
    zmq_close(socket);
}

TEST(CurveKeysTest, readsKeyFilesAndNeverRevealsASecret)
{
    const TemporaryFolder folder;
    const CurveKeys keys = CurveKeys::generate().value();
    EXPECT_EQ(CurveKeys::fromSecretKeyFile(folder.write("secret", keys.secretKey + "\n")).value().publicKey, keys.publicKey);
    EXPECT_EQ(Wire::readPublicKeys(folder.write("known", "# routers\n\n " + keys.publicKey + "\r\n")).value(), std::vector{keys.publicKey});
    // Truncated at the end rather than at the start: a Z85 key never starts with #, but its second character may be # and would make the line a comment.
    const std::string broken = keys.secretKey.substr(0, keys.secretKey.size() - 1);
    EXPECT_EQ(CurveKeys::fromSecretKeyFile(folder.write("short", broken)).error().toString().find(broken), std::string::npos);
    EXPECT_EQ(Wire::readPublicKeys(folder.write("wrong", "# routers\n" + broken)).error().peer, folder.write("wrong", "") + ":2");
    EXPECT_EQ(Wire::readPublicKeys("/nonexistent").error().code, Core::ErrorCode::NotFound);
}

} // namespace

} // namespace Verbena::Test
