#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Verbena::Http {

/// \brief Cuts a stream of server-sent events into the data of its events.
class SseParser
{
public:
    using Visitor = std::function<void(std::string_view data)>;

    /// \brief Takes the next bytes and calls \a visit with the data of every event they complete, in order.
    void feed(std::string_view bytes, const Visitor &visit);

    /// \brief Bytes kept of an event that is not complete.
    std::size_t pendingBytes() const;

private:
    void takeLine(std::string_view line, const Visitor &visit);

    std::string m_pending; ///< Of a line that is not complete.
    std::string m_data; ///< Of an event that is not complete.
    bool m_hasData = false;
};

} // namespace Verbena::Http
