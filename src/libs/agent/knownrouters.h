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
    /// \brief Notes a sign of life; true if \a peer was not known.
    bool noteHeard(const std::string &peer, Core::TimePoint now);
    void forget(const std::string &peer);

    /// \brief Forgets all that were not heard of since \a moment.
    void forgetSilent(Core::TimePoint moment);

    const std::vector<std::string> &all() const;
    std::size_t size() const;

private:
    std::unordered_map<std::string, Core::TimePoint> m_lastHeard;
    std::vector<std::string> m_all;
};

} // namespace Verbena::Agent
