#include "requestresends.h"

#include "relayshutdown.h"

#include <eventloop/loop.h>
#include <observe/metrics.h>

#include <optional>
#include <utility>

namespace Verbena::Relay {

using Decisions::AttemptAction;
using Decisions::AttemptState;
using Decisions::CallFailure;
using Decisions::ResendPurpose;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// With less remaining time than this, a request is not sent again.
constexpr milliseconds minimumTime{40};

// Time until a stream that was refused by the backend server that should have continued it is sent to another one; doubles with each further refusal.
constexpr milliseconds initialStreamBackoff{100};

ResendPurpose purpose(bool isAnswerBegun)
{
    return isAnswerBegun ? ResendPurpose::BegunStream : ResendPurpose::Failure;
}

// Backend servers that refuse the continuation of a stream are likely to be busy with the streams of the same failure, and have capacity again soon. Trying all
// of them at once would use up the budget, and so would one that a request goes back to before it is ready. Returns nothing if the request may be sent again at
// once.
std::optional<milliseconds> backoff(const AttemptState &state, CallFailure failure)
{
    const bool mayWait = state.isAnswerBegun || state.mayReturn;
    if (!mayWait || failure != CallFailure::NotRun || state.sends < 2) {
        return std::nullopt;
    }
    return initialStreamBackoff * (1 << (state.sends - 2));
}

} // namespace

RequestResends::RequestResends(const RelayContext &context, const RequestFacts &facts)
    : m_context(context)
    , m_facts(facts)
{
}

RequestResends::~RequestResends()
{
    withdraw();
}

Core::TimePoint RequestResends::latestSend() const
{
    return m_facts.deadline - minimumTime;
}

// Asked for each event of a stream.
bool RequestResends::isExpectedToEnd(bool isAnswerBegun) const
{
    if (!m_context.shutdown->isBegun()) {
        return true;
    }
    const milliseconds elapsed = isAnswerBegun ? duration_cast<milliseconds>(m_context.loop.now() - m_facts.arrival) : milliseconds(0);
    return m_context.shutdown->isExpectedToEnd({m_facts.route->name, m_facts.route->isRepeatable(), m_facts.deadline, elapsed});
}

bool RequestResends::hasTime(bool isAnswerBegun) const
{
    return m_context.loop.now() + minimumTime < m_facts.deadline && isExpectedToEnd(isAnswerBegun);
}

Decisions::ResendBalance RequestResends::balance(bool isAnswerBegun) const
{
    return m_context.budget.balance(m_facts.service, purpose(isAnswerBegun), m_context.loop.now());
}

bool RequestResends::tryConsume(bool isAnswerBegun)
{
    return m_context.budget.tryConsume(m_facts.service, purpose(isAnswerBegun), m_context.loop.now());
}

AttemptAction RequestResends::claim(const AttemptState &state, CallFailure failure, Callback done)
{
    const std::optional<milliseconds> delay = backoff(state, failure);
    if (!delay.has_value() && tryConsume(state.isAnswerBegun)) {
        m_context.metrics.count("resends_total");
        return AttemptAction::SendAgain;
    }
    if (wait(state.isAnswerBegun, m_context.loop.now() + delay.value_or(milliseconds(0)), std::move(done))) {
        return AttemptAction::AwaitResend;
    }
    m_context.metrics.count("resends_refused_total");
    return actionWithoutResend(state, failure);
}

bool RequestResends::wait(bool isAnswerBegun, Core::TimePoint earliest, Callback done)
{
    m_number = m_context.resendQueue.wait(m_facts.service, purpose(isAnswerBegun), earliest, [this, done = std::move(done)](bool isGranted) {
        m_number = 0;
        m_context.metrics.count(isGranted ? "resends_total" : "resends_refused_total");
        done(isGranted);
    });
    return m_number != 0;
}

void RequestResends::withdraw()
{
    m_context.resendQueue.withdraw(m_number);
}

} // namespace Verbena::Relay
