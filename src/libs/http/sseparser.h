#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

/// \brief Cuts a stream of server-sent events into the data of its events.
class SseParser
{
public:
    /// \brief Takes the next bytes and returns the data of every event they complete, in order.
    std::vector<std::string> feed(std::string_view bytes);

    /// \brief Bytes kept of an event that is not complete.
    std::size_t pendingBytes() const;

private:
    std::string m_pending;
};

} // namespace Verbena::Http
