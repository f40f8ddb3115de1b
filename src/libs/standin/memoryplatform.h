#pragma once

#include "platformstate.h"

#include <store/objectstore.h>

#include <functional>
#include <map>

namespace Verbena::Standin {

/// \brief Simulated platform in memory and in virtual time, with the same faults as the stand-in process.
///
/// Operations are processed in advanceTo() only. An operation reaches the platform after half its latency and is answered after the full latency.
/// If the answer would come after the deadline, the operation is reported as unanswered at the deadline.
class MemoryPlatform : public Store::TableService, public Store::ObjectStore, public Store::HostList
{
public:
    /// \brief Creates a platform at time \a now whose operations take \a latency.
    MemoryPlatform(Core::TimePoint now, std::chrono::microseconds latency);

    PlatformState &state();
    Core::TimePoint now() const;

    /// \brief Returns the time of the next step of a pending operation, if there is one.
    std::optional<Core::TimePoint> nextEvent() const;

    /// \brief Processes all steps that are due up to \a time, in order.
    void advanceTo(Core::TimePoint time);

    void get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done) override;
    void scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done) override;
    void commit(const std::vector<Store::RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) override;
    void get(const std::string &name, Core::TimePoint deadline, GetCallback done) override;
    void put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done) override;
    void fetch(Core::TimePoint deadline, ListCallback done) override;

private:
    using Step = std::function<void()>;

    void schedule(Core::TimePoint time, Step step);
    void answer(Core::TimePoint deadline, Step onAnswer, Step onTimeout);
    template<typename Done, typename Read>
    void read(const char *step, Core::TimePoint deadline, Done done, Read readValue);

    PlatformState m_state;
    Core::TimePoint m_now;
    std::chrono::microseconds m_latency;
    std::multimap<Core::TimePoint, Step> m_steps;
};

} // namespace Verbena::Standin
