#include "memoryplatform.h"

namespace Verbena::Standin {

namespace {

constexpr const char *peerName = "memory";

Core::Error lostAnswer(const char *step)
{
    return {Core::ErrorCode::Unknown, step, peerName, "No answer came before the deadline."};
}

Core::Error refusal(const char *step, Admission admission)
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

Store::CommitAnswer unwritten(Store::CommitOutcome outcome, const char *detail)
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

void MemoryPlatform::advanceTo(Core::TimePoint moment)
{
    while (!m_steps.empty() && m_steps.begin()->first <= moment) {
        const auto node = m_steps.extract(m_steps.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = std::max(m_now, moment);
}

void MemoryPlatform::schedule(Core::TimePoint moment, Step step)
{
    m_steps.emplace(std::max(moment, m_now), std::move(step));
}

void MemoryPlatform::answer(Core::TimePoint deadline, Step onTime, Step late)
{
    const Core::TimePoint moment = m_now + m_latency / 2 + m_state.faults().slowness;
    if (moment <= deadline) {
        schedule(moment, std::move(onTime));
    } else {
        schedule(deadline, std::move(late));
    }
}

template<typename Done, typename Read>
void MemoryPlatform::read(const char *step, Core::TimePoint deadline, Done done, Read readValue)
{
    schedule(m_now + m_latency / 2, [this, step, deadline, done, readValue] {
        const Admission admission = m_state.admitRead(m_now);
        const auto late = [done, step] {
            done(lostAnswer(step));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done, step, admission] { done(refusal(step, admission)); }, late);
        } else if (admission == Admission::Serve) {
            answer(
                deadline, [done, value = readValue()] { done(value); }, late);
        } else {
            schedule(deadline, late);
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
        schedule(m_now, [done] { done(unwritten(CommitOutcome::NotSent, "The deadline passed before anything was sent.")); });
        return;
    }
    schedule(m_now + m_latency / 2, [this, writes, deadline, done] {
        const Admission admission = m_state.admitWrite(m_now);
        const Step late = [done] {
            done(unwritten(CommitOutcome::Unknown, "No answer came before the deadline."));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done] { done(unwritten(CommitOutcome::NotSent, "The platform refused before doing anything.")); }, late);
        } else if (admission == Admission::Serve) {
            answer(
                deadline, [done, result = m_state.commit(writes)] { done(result); }, late);
        } else {
            if (admission == Admission::ServeWithoutAnswer) {
                m_state.commit(writes);
            } else if (admission == Admission::ServeLateWithoutAnswer) {
                schedule(m_now + m_state.faults().writeDelay, [this, writes] { m_state.commit(writes); });
            }
            schedule(deadline, late);
        }
    });
}

void MemoryPlatform::get(const std::string &name, Core::TimePoint deadline, GetCallback done)
{
    read("objects.get", deadline, std::move(done), [this, name] {
        const auto content = m_state.object(name);
        return content ? Core::Result<std::string>(*content)
                       : Core::Result<std::string>(Core::Error{Core::ErrorCode::NotFound, "objects.get", peerName, "There is no such object."});
    });
}

void MemoryPlatform::put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done)
{
    schedule(m_now + m_latency / 2, [this, name, content, deadline, done] {
        const Admission admission = m_state.admitWrite(m_now);
        const Step late = [done] {
            done(lostAnswer("objects.put"));
        };
        if (isRefusal(admission)) {
            answer(
                deadline, [done, admission] { done(refusal("objects.put", admission)); }, late);
            return;
        }
        if (admission != Admission::DropWithoutAnswer) {
            m_state.setObject(name, content);
        }
        if (admission == Admission::Serve) {
            answer(
                deadline, [done] { done(Core::success()); }, late);
        } else {
            schedule(deadline, late);
        }
    });
}

void MemoryPlatform::fetch(Core::TimePoint deadline, ListCallback done)
{
    read("hosts.fetch", deadline, std::move(done), [this] { return m_state.hosts(m_now); });
}

} // namespace Verbena::Standin
