#pragma once

#include <map>
#include <string>

namespace Verbena::Relay {

/// \brief Register entries that could not be decoded, with the reasons, so that each is logged once and not with each write.
class RejectedEntries
{
public:
    /// \brief Records that the entry of \a id was rejected for \a reason. Returns whether that is new.
    bool record(const std::string &id, const std::string &reason);

    /// \brief Removes the entry of \a id, which was deleted or can be decoded again.
    void remove(const std::string &id);

private:
    std::map<std::string, std::string> m_reasons; ///< Reasons by id.
};

} // namespace Verbena::Relay
