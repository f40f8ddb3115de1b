#pragma once

#include <core/time.h>

#include <deque>
#include <optional>
#include <string>

namespace Verbena::Soak {

/// \brief What one side of a link has sent and the other side has not got yet.
class HeldQueue
{
public:
    enum class Kind {
        Bytes,
        End, ///< The side has closed.
        Cut, ///< The link breaks here.
    };

    struct Item
    {
        Core::TimePoint at;
        Kind kind = Kind::Bytes;
        std::string bytes;
    };

    /// \brief Adds \a item, which comes no sooner than what was added before it.
    void add(Item item);

    /// \brief Returns the first item if it is due at \a now.
    const Item *due(Core::TimePoint now) const;

    /// \brief Removes the first item and returns it.
    Item take();

    /// \brief Returns when the first item is due; nothing if there is none.
    std::optional<Core::TimePoint> nextTime() const;

    std::size_t bytes() const;

private:
    std::deque<Item> m_items;
    std::size_t m_bytes = 0;
};

} // namespace Verbena::Soak
