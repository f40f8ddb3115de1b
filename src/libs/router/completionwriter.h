#pragma once

#include "answerformat.h"
#include "answerwriter.h"

#include <memory>

namespace Verbena::Router {

/// \brief Writes a completion as server-sent events while it is generated.
class StreamedCompletionWriter : public AnswerWriter
{
public:
    /// \brief Creates a writer that stores the delivered text only if \a isKeepingText; a request that cannot be resumed does not need it.
    StreamedCompletionWriter(std::shared_ptr<Http::HttpExchange> exchange, const CallerRequest &request, const std::string &requestId, bool isKeepingText);

    void deliver(std::string_view text) override;
    void restart() override;
    void finish(const verbena::wire::Ended &ended) override;
    void fail(const RequestFailure &failure) override;
    std::size_t bufferedBytes() const override;
    const std::string &deliveredText() const override;

private:
    void beginStream();

    std::shared_ptr<Http::HttpExchange> m_exchange;
    AnswerFormat m_format;
    std::string m_requestId;
    bool m_isUsageWanted;
    bool m_isKeepingText;
    bool m_hasBegun = false;
    std::string m_text;
    std::string m_event;
};

/// \brief Collects a completion and writes it in one response when it is complete.
class WholeCompletionWriter : public AnswerWriter
{
public:
    WholeCompletionWriter(std::shared_ptr<Http::HttpExchange> exchange, const CallerRequest &request, const std::string &requestId);

    void deliver(std::string_view text) override;
    void restart() override;
    void finish(const verbena::wire::Ended &ended) override;
    void fail(const RequestFailure &failure) override;
    std::size_t bufferedBytes() const override;
    const std::string &deliveredText() const override;

private:
    std::shared_ptr<Http::HttpExchange> m_exchange;
    AnswerFormat m_format;
    std::string m_requestId;
    std::string m_text;
};

} // namespace Verbena::Router
