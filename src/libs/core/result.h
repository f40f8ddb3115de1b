#pragma once

#include "error.h"

#include <boost/outcome.hpp>
#include <boost/version.hpp>

/// \brief Declares \a name as the success value of the Result that follows it, or returns that result's Error.
// The macro takes a declaration from Boost 1.76 on, and a name in older releases.
#if BOOST_VERSION >= 107600
#define VERBENA_TRY(name, ...) BOOST_OUTCOME_TRYA(auto &&name, __VA_ARGS__)
#else
#define VERBENA_TRY(name, ...) BOOST_OUTCOME_TRYA(name, __VA_ARGS__)
#endif

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
