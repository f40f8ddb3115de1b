#pragma once

#include "answerwriter.h"

#include <http/httpexchange.h>

#include <memory>

namespace Verbena::Router {

/// \brief Collects the answer of a plain service and returns it with its status when it is complete.
class ServiceWriter : public AnswerWriter
{
public:
    ServiceWriter(std::shared_ptr<Http::HttpExchange> exchange, std::string requestId);

    void deliver(std::string_view text) override;
    void restart() override;
    void finish(const verbena::wire::Ended &ended) override;
    void fail(const RequestFailure &failure) override;
    std::size_t bufferedBytes() const override;
    const std::string &deliveredText() const override;

private:
    std::shared_ptr<Http::HttpExchange> m_exchange;
    std::string m_requestId;
    std::string m_body;
};

} // namespace Verbena::Router
