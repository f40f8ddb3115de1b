#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Http {

/// \brief Cuts a stream of server-sent events where one event ends and the next begins, and keeps the text of each as it is.
class EventCutter
{
public:
    /// \brief Takes the next bytes; returns the whole events that are complete now, as they came.
    ///
    /// Events whose id is not above lastId() have been delivered before and are left out.
    std::string feed(std::string_view bytes);

    /// \brief What has come of an event that is not complete, for a stream that has ended.
    std::string takePending();

    /// \brief Forgets an event that is not complete, for a stream that goes on elsewhere.
    void dropPending();

    /// \brief The id of the last event that was returned.
    std::optional<std::uint64_t> lastId() const;

private:
    bool isNew(std::string_view event);

    std::string m_pending;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace Verbena::Http
