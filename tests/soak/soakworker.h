#pragma once

#include "ledger.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Verbena::Soak {

/// \brief The body that ends the backend server that runs it.
inline constexpr const char *crashingToken = "crash";

/// \brief The body whose answer has a part without end.
inline constexpr const char *endlessToken = "endless";

/// \brief The part of a prompt that ends the engine that begins to answer it.
inline constexpr const char *crashingPart = "bad";

/// \brief What the backend server answers to a plain request with the body \a token.
std::string answerText(const std::string &token);

/// \brief What a backend server is.
struct WorkerTerms
{
    std::string name;
    bool isEngine = false;
    std::string software; ///< Its version.
};

/// \brief A backend server with faults of its own: it loses, cuts, crosses and refuses answers.
class SoakWorker
{
public:
    SoakWorker(EventLoop::Loop &loop, const std::string &ip, WorkerTerms terms, Ledger &ledger, Decisions::RandomSource &random);
    ~SoakWorker();

    SoakWorker(const SoakWorker &) = delete;
    SoakWorker &operator=(const SoakWorker &) = delete;

    std::string address() const;

    /// \brief Of its present life.
    std::string id() const;

    std::uint64_t version() const;
    const WorkerTerms &terms() const;

    /// \brief Ends all connections and begins another life, with the weights that it had.
    void crash();

    /// \brief Calls \a observer when a request crashes this server, which has to call crash() later.
    void setCrashObserver(std::function<void()> observer);

    /// \brief Share of requests that go wrong.
    void setFaultShare(double share);

    /// \brief Time that the work on a slow request takes from now on, give or take a tenth.
    void setWorkTime(std::chrono::milliseconds time);

    /// \brief Whether its answers to calls that are no requests have a part without end.
    void setEndlessCalls(bool isEndless);

    /// \brief Whether its answers to calls that are no requests are well-formed and say something odd.
    void setOddCalls(bool isOdd);

private:
    class Connection;

    std::string report();
    std::string cacheEvents();
    std::string callText(const nlohmann::json &answer);
    std::string takeOrder(const std::string &body);

    EventLoop::Loop &m_loop;
    WorkerTerms m_terms;
    Ledger &m_ledger;
    Decisions::RandomSource &m_random;
    int m_life = 1;
    std::uint64_t m_version = 1;
    std::uint64_t m_orders = 0;
    double m_faultShare = 0;
    std::chrono::milliseconds m_workTime{50};
    bool m_hasEndlessCalls = false;
    bool m_hasOddCalls = false;
    std::function<void()> m_crashObserver;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<Http::TcpListener> m_listener;
};

} // namespace Verbena::Soak
