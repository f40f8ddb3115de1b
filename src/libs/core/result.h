#pragma once

#include "error.h"

#include <boost/outcome.hpp>

namespace Verbena::Core {

/// \brief A value of type \a T, or the Error that occurred instead.
///
/// Accessing the value of a failure or the error of a success is a programming error and terminates the process.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \brief Returns the success value of a Result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Verbena::Core
