#pragma once

#include "backendadapter.h"

#include <http/httpcall.h>
#include <http/sseparser.h>

#include <string>

namespace Verbena::Agent {

/// \brief Receives the outcome of one call to a backend server.
class RunCallOwner
{
public:
    virtual ~RunCallOwner() = default;
    virtual void noteEngineIncarnation(std::uint64_t incarnation) = 0;
    virtual void receiveCallOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens) = 0;
    virtual void finishCall(const Decisions::RequestRef &ref, const BackendEnd &end, const Core::Result<int> &status) = 0;
};

/// \brief One run at a backend server, as an HTTP call.
class RunCall : public Http::HttpReceiver
{
public:
    RunCall(Decisions::RequestRef ref, RunCallOwner &owner);

    void receiveField(std::string_view name, std::string_view value) override;
    void finish(Core::Result<int> status) override;

protected:
    /// \brief Sets \a end according to the backend server's answer with \a status.
    virtual void finishAnswer(int status, BackendEnd &end) = 0;

    void sendOutput(std::string_view text, std::uint32_t tokens);
    BackendEnd m_end;

private:
    Decisions::RequestRef m_ref;
    RunCallOwner &m_owner;
};

/// \brief A streamed completion.
class CompletionCall : public RunCall
{
public:
    using RunCall::RunCall;

    void receiveData(int status, std::string_view data) override;
    bool isTakingMore() const override;

protected:
    void finishAnswer(int status, BackendEnd &end) override;

private:
    void receiveEvent(std::string_view data);

    Http::SseParser m_parser;
    CompletionEventReader m_reader;
    std::string m_batch; ///< Text of the tokens that were received together.
    std::uint32_t m_batchTokens = 0;
    std::size_t m_errorBytes = 0; ///< Body of an answer that is no stream.
    bool m_isDone = false;
    bool m_isBroken = false;
};

/// \brief A call to a plain service, whose body is forwarded unchanged.
class ServiceCall : public RunCall
{
public:
    using RunCall::RunCall;

    void receiveData(int status, std::string_view data) override;
    void receiveUnframedEnd() override;

protected:
    void finishAnswer(int status, BackendEnd &end) override;
};

} // namespace Verbena::Agent
