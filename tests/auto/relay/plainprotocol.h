#pragma once

#include <relay/relayprotocol.h>

namespace Verbena::Test {

/// \brief Returns the id of the request with \a head; empty if it names none, as one that is meant for a process that had the port before.
std::string requestId(const Http::MessageHead &head);

/// \brief A minimal protocol for tests; its HTTP fields are named after the members of the relay's types.
class PlainProtocol : public Relay::RelayProtocol
{
public:
    Core::Result<Relay::RelayQuery> readQuery(const Http::MessageHead &head, Core::TimePoint now) const override;
    std::vector<Http::HttpField> callFields(const Http::MessageHead &head, const Relay::CallContext &context) const override;
    Relay::AnswerMarks readAnswer(const Http::MessageHead &head) const override;
    std::vector<Http::HttpField> answerFields(const Http::MessageHead &head) const override;
    std::vector<Http::HttpField> refusalFields(const Relay::Refusal &refusal, const std::string &attemptId) const override;
};

} // namespace Verbena::Test
