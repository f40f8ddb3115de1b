#pragma once

#include <core/time.h>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Agent {

/// \brief The routers that have been heard of lately, in bounded memory.
class KnownRouters
{
public:
    void noteHeard(const std::string &peer, Core::TimePoint now);
    void forget(const std::string &peer);

    /// \brief Forgets all that were not heard of since \a moment.
    void forgetSilent(Core::TimePoint moment);

    std::vector<std::string> all() const;
    std::size_t size() const;

private:
    std::unordered_map<std::string, Core::TimePoint> m_lastHeard;
};

} // namespace Verbena::Agent
