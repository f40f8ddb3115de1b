#pragma once

#include "registercopy.h"
#include "relaytask.h"
#include "softwarerows.h"
#include "streamorigincontrol.h"
#include "streamoriginreplica.h"

#include <decisions/relay/origininquiry.h>
#include <decisions/relay/originreplicas.h>
#include <decisions/relay/softwareversions.h>
#include <decisions/spread/messagenumbers.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Tells a few other processes where running streams began, and asks them when a caller resumes one.
///
/// Nothing is told while a service has had one software version for longer than streams last: then every router knows where its streams may go on.
class StreamOriginExchange : public StreamOriginControl
{
public:
    /// \brief Binds to \a address; routers and agents use the same port on their hosts. Which software versions there were before is read from \a source
    /// and written to \a store. All references have to live as long as this object. Errors: Unavailable.
    static Core::Result<std::unique_ptr<StreamOriginExchange>> create(EventLoop::Loop &loop,
        const Http::Endpoint &address,
        RelayTask &relay,
        Store::RowSource &source,
        Store::RowStore &store,
        std::uint64_t seed,
        RegisterCopy &registerCopy);
    ~StreamOriginExchange() override;

    StreamOriginExchange(const StreamOriginExchange &) = delete;
    StreamOriginExchange &operator=(const StreamOriginExchange &) = delete;

    std::uint64_t recordBegun(const RunningStream &stream) override;
    void recordEnded(std::uint64_t number, bool isWhole) override;
    std::uint64_t find(const OriginRequest &request, Callback done) override;
    void withdraw(std::uint64_t number) override;

private:
    // An engine, beside which an agent may run.
    struct RegisteredEngine
    {
        std::string address;
        Decisions::ReplicaAgent agent;
    };

    struct ToldStream
    {
        RunningStream stream;
        Core::TimePoint nextTell{}; ///< Time at which it is told again.
        std::uint32_t tells = 0; ///< Number of times it was told.
    };

    struct PendingInquiry
    {
        OriginRequest request;
        Decisions::OriginInquiry inquiry;
        Callback done;
        Core::BootTime begin;
        Core::TimePoint resendTime;
        Core::TimePoint answerDeadline; ///< Time until which answers of replicas are awaited.
        Core::TimePoint registerDeadline; ///< Time until which the register's verification is awaited, if the store can be expected to answer.
        bool isResent = false;
    };

    StreamOriginExchange(EventLoop::Loop &loop,
        const Http::Endpoint &address,
        RelayTask &relay,
        Store::RowSource &source,
        Store::RowStore &store,
        std::uint64_t seed,
        RegisterCopy &registerCopy);
    void updateSoftware();
    void updateReplicas();
    void updateEngines();
    void updateAgents();
    std::optional<Decisions::SoleSoftware> soleSoftware(const std::string &service) const;
    bool isSettled(const RunningStream &stream) const;
    void tell(ToldStream &told);
    void tellRunning();
    void sendTo(const std::string &replica, const verbena::wire::Envelope &message);
    void sendQuery(std::uint64_t number, const OriginRequest &request, const std::string &replica);
    void handleAnswer(const std::string &replica, const verbena::wire::StreamOriginAnswer &answer);
    bool isRegisterVerifiedSince(Core::BootTime time) const;
    void checkRegister();
    void checkInquiries();
    void resendQueries(std::uint64_t number, PendingInquiry &pending);
    void decide(std::uint64_t number, const char *outcome);
    void report(const OriginRequest &request, const std::optional<Decisions::StreamOrigin> &origin, const char *outcome, std::size_t silentReplicas);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    RegisterCopy &m_registerCopy;
    Decisions::SoftwareVersions m_software;
    SoftwareRows m_softwareRows;
    Decisions::OriginReplicas m_replicas;
    std::vector<RegisteredEngine> m_engines; ///< Engines in the register.
    std::optional<std::uint64_t> m_enginesRevision; ///< Revision of the register from which the engines were taken.
    Core::TimePoint m_agentsUpdateTime{}; ///< Time of the next update of the agents that may keep origins.
    std::unique_ptr<StreamOriginReplica> m_ownReplica;
    std::map<std::uint64_t, ToldStream> m_running; ///< Running streams, by number.
    std::map<std::uint64_t, PendingInquiry> m_inquiries; ///< By number.
    Decisions::MessageNumbers m_numbers; ///< Of running streams and of inquiries.
    EventLoop::Timer m_tellTimer;
    EventLoop::Timer m_inquiryTimer;
};

} // namespace Verbena::Relay
