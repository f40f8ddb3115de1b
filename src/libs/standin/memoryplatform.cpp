#include "memoryplatform.h"

namespace Verbena::Standin {

namespace {

constexpr const char *peerName = "memory";

Core::Error missingAnswerError(const char *step)
{
    return {Core::ErrorCode::Unknown, step, peerName, "No answer arrived before the deadline."};
}

Core::Error refusalError(const char *step, Admission admission)
{
    if (admission == Admission::OverBudget) {
        return {Core::ErrorCode::ResourceExhausted, step, peerName, "The platform's budget is used up."};
    }
    return {Core::ErrorCode::Unavailable, step, peerName, "The platform is out of service."};
}

bool isRefusal(Admission admission)
{
    return admission == Admission::OverBudget || admission == Admission::Refused;
}

Store::CommitAnswer notCommitted(Store::CommitOutcome outcome, const char *detail)
{
    return {outcome, 0, {}, detail};
}

} // namespace

MemoryPlatform::MemoryPlatform(Core::TimePoint now, std::chrono::microseconds latency)
    : m_now(now)
    , m_latency(latency)
{
}

PlatformState &MemoryPlatform::state()
{
    return m_state;
}

Core::TimePoint MemoryPlatform::now() const
{
    return m_now;
}

std::optional<Core::TimePoint> MemoryPlatform::nextEvent() const
{
    return m_steps.empty() ? std::nullopt : std::optional(m_steps.begin()->first);
}

void MemoryPlatform::advanceTo(Core::TimePoint time)
{
    while (!m_steps.empty() && m_steps.begin()->first <= time) {
        const auto node = m_steps.extract(m_steps.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = std::max(m_now, time);
}

void MemoryPlatform::schedule(Core::TimePoint time, Step step)
{
    m_steps.emplace(std::max(time, m_now), std::move(step));
}

void MemoryPlatform::answer(Core::TimePoint deadline, Step onAnswer, Step onTimeout)
{
    const Core::TimePoint time = m_now + m_latency / 2 + m_state.faults().answerDelay;
    if (time <= deadline) {
        schedule(time, std::move(onAnswer));
    } else {
        schedule(deadline, std::move(onTimeout));
    }
}

template<typename Done, typename Read>
void MemoryPlatform::read(const char *step, Core::TimePoint deadline, Done done, Read readValue)
{
    schedule(m_now + m_latency / 2, [this, step, deadline, done, readValue] {
        const Admission admission = m_state.admitRead(m_now);
        const auto onTimeout = [done, step] {
            done(missingAnswerError(step));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done, step, admission] { done(refusalError(step, admission)); }, onTimeout);
        } else if (admission == Admission::Serve) {
            answer(
                deadline, [done, value = readValue()] { done(value); }, onTimeout);
        } else {
            schedule(deadline, onTimeout);
        }
    });
}

void MemoryPlatform::get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done)
{
    read("table.get", deadline, std::move(done), [this, keys] { return m_state.rows(keys); });
}

void MemoryPlatform::scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done)
{
    read("table.scan", deadline, std::move(done), [this, prefix, sinceRevision, limit] { return m_state.scan(prefix, sinceRevision, limit); });
}

void MemoryPlatform::commit(const std::vector<Store::RowWrite> &writes, Core::TimePoint deadline, CommitCallback done)
{
    using Store::CommitOutcome;
    if (deadline <= m_now) {
        schedule(m_now, [done] { done(notCommitted(CommitOutcome::NotSent, "The deadline passed before the operation was sent.")); });
        return;
    }
    schedule(m_now + m_latency / 2, [this, writes, deadline, done] {
        const Admission admission = m_state.admitWrite(m_now);
        const Step onTimeout = [done] {
            done(notCommitted(CommitOutcome::Unknown, "No answer arrived before the deadline."));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done] { done(notCommitted(CommitOutcome::NotSent, "The platform refused the operation before any effect.")); }, onTimeout);
        } else if (admission == Admission::Serve) {
            answer(
                deadline, [done, result = m_state.commit(writes)] { done(result); }, onTimeout);
        } else {
            if (admission == Admission::ServeWithoutAnswer) {
                m_state.commit(writes);
            } else if (admission == Admission::ServeLateWithoutAnswer) {
                schedule(m_now + m_state.faults().writeDelay, [this, writes] { m_state.commit(writes); });
            }
            schedule(deadline, onTimeout);
        }
    });
}

void MemoryPlatform::get(const std::string &name, Core::TimePoint deadline, GetCallback done)
{
    read("objects.get", deadline, std::move(done), [this, name] {
        const auto content = m_state.object(name);
        return content ? Core::Result<std::string>(*content)
                       : Core::Result<std::string>(Core::Error{Core::ErrorCode::NotFound, "objects.get", peerName, "The object does not exist."});
    });
}

void MemoryPlatform::put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done)
{
    schedule(m_now + m_latency / 2, [this, name, content, deadline, done] {
        const Admission admission = m_state.admitWrite(m_now);
        const Step onTimeout = [done] {
            done(missingAnswerError("objects.put"));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done, admission] { done(refusalError("objects.put", admission)); }, onTimeout);
            return;
        }
        if (admission != Admission::DropWithoutAnswer) {
            m_state.setObject(name, content);
        }
        if (admission == Admission::Serve) {
            answer(
                deadline, [done] { done(Core::success()); }, onTimeout);
        } else {
            schedule(deadline, onTimeout);
        }
    });
}

void MemoryPlatform::fetch(Core::TimePoint deadline, ListCallback done)
{
    read("hosts.fetch", deadline, std::move(done), [this] { return m_state.hosts(m_now); });
}

} // namespace Verbena::Standin
