#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Verbena::Http {

/// \brief A parser that extracts the data of each event from a stream of server-sent events.
class SseParser
{
public:
    using Visitor = std::function<void(std::string_view data)>;

    /// \brief Parses the next \a bytes and calls \a visit with the data of each event that they complete, in order.
    void feed(std::string_view bytes, const Visitor &visit);

    /// \brief Returns the number of buffered bytes of the incomplete event.
    std::size_t pendingBytes() const;

private:
    void processLine(std::string_view line, const Visitor &visit);

    std::string m_pending; ///< Incomplete line.
    std::string m_data; ///< Data of the incomplete event.
    bool m_hasData = false;
};

} // namespace Verbena::Http
