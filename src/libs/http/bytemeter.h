#pragma once

#include <cstddef>

namespace Verbena::Http {

/// \brief Interface that is told how much memory a connection holds for written bytes; destroying it ends the count.
class ByteMeter
{
public:
    virtual ~ByteMeter() = default;

    /// \brief Notes that the connection holds \a bytes now.
    virtual void setBytes(std::size_t bytes) = 0;
};

} // namespace Verbena::Http
