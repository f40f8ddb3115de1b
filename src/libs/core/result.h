#pragma once

#include "error.h"

#include <boost/outcome.hpp>

namespace Verbena::Core {

/// \brief A value of type \a T, or the Error that kept it from being made.
///
/// Reading the side that is not there ends the process: it is a programming error.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \brief The success value of a Result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Verbena::Core
