#pragma once

#include <memory>
#include <utility>

namespace Verbena::Core {

/// \brief Guard that keeps asynchronous callbacks from running after their object was destroyed.
///
/// Must be the last member of the object, so that it is destroyed first.
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

    /// \brief Returns a callable that calls \a function while this object exists, and does nothing afterwards.
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
