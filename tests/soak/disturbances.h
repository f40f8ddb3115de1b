#pragma once

#include <core/time.h>

namespace Verbena::Soak {

/// \brief Until when anything unplanned goes on, as the users' rules count it: the store alone excuses less than the rest.
class Disturbances
{
public:
    /// \brief Something other than the store is disturbed until \a end.
    void note(Core::TimePoint end);
    void noteStore(Core::TimePoint end);

    /// \brief Returns whether anything was disturbed from some seconds before \a time on.
    bool isAnySince(Core::TimePoint time, bool isStoreCounted) const;

private:
    Core::TimePoint m_end;
    Core::TimePoint m_storeEnd;
};

} // namespace Verbena::Soak
