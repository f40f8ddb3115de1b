#pragma once

#include <core/time.h>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Agent {

/// \brief The routers that sent a message lately, in bounded memory.
class KnownRouters
{
public:
    /// \brief Records a message of \a peer; returns whether the router was not known.
    bool noteHeard(const std::string &peer, Core::TimePoint now);
    void forget(const std::string &peer);

    /// \brief Removes the routers that have sent nothing since \a moment.
    void forgetSilent(Core::TimePoint moment);

    const std::vector<std::string> &all() const;
    std::size_t size() const;

private:
    std::unordered_map<std::string, Core::TimePoint> m_lastHeard;
    std::vector<std::string> m_all;
};

} // namespace Verbena::Agent
