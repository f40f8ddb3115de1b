#pragma once

#include <memory>
#include <utility>

namespace Verbena::Core {

/// \brief Lets answers that come after the end of an object pass it by.
///
/// To be the last member of the object, so that it ends first.
class Lifetime
{
public:
    Lifetime() = default;

    ~Lifetime()
    {
        *m_isAlive = false;
    }

    Lifetime(const Lifetime &) = delete;
    Lifetime &operator=(const Lifetime &) = delete;

    /// \brief Calls \a function as long as this lives, and does nothing afterwards.
    template<typename Function>
    auto guard(Function function) const
    {
        return [isAlive = m_isAlive, function = std::move(function)](auto &&...answer) {
            if (*isAlive) {
                function(std::forward<decltype(answer)>(answer)...);
            }
        };
    }

private:
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Verbena::Core
