#pragma once

#include <map>
#include <string>

namespace Verbena::Relay {

/// \brief Remembers which entries of the register could not be read and why, so that each is told of once and not with each write.
class RefusedEntries
{
public:
    /// \brief The entry of \a id was refused for \a reason; returns whether that was not known yet.
    bool isNews(const std::string &id, const std::string &reason);

    /// \brief The entry of \a id is gone or can be read again.
    void forget(const std::string &id);

private:
    std::map<std::string, std::string> m_reasons; ///< By id.
};

} // namespace Verbena::Relay
