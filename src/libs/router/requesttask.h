#pragma once

#include "answerformat.h"
#include "callerkeys.h"
#include "callerrequest.h"

#include <http/httpexchange.h>

#include <verbena.pb.h>

#include <memory>
#include <string>

namespace Verbena::Router {

/// \brief One caller's request on its way through the router.
class RequestTask
{
public:
    RequestTask(std::string id, CallerRequest request, Caller caller, std::shared_ptr<Http::HttpExchange> exchange);

    const std::string &id() const;
    bool isFinished() const;

    void receiveFrame(const verbena::wire::Frame &frame);
    void receiveEnd(const verbena::wire::Ended &ended);
    void receiveRefusal(const verbena::wire::Refused &refused);

    /// \brief Answers that the request has not been run.
    void failNotRun(int status, const std::string &code, const std::string &message);

private:
    std::vector<Http::HttpField> fields(const std::string &contentType, const std::string &run) const;

    std::string m_id;
    CallerRequest m_request;
    Caller m_caller;
    std::shared_ptr<Http::HttpExchange> m_exchange;
    AnswerFormat m_format;
    std::uint64_t m_lastSequence = 0;
    std::string m_text;
    bool m_isStreaming = false;
    bool m_isFinished = false;
};

} // namespace Verbena::Router
