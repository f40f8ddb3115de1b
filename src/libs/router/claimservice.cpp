#include "claimservice.h"

namespace Verbena::Router {

void RefusingClaimService::claim(const Claim &, Core::TimePoint, Callback done)
{
    done({});
}

void RefusingClaimService::recordEnd(const Claim &, Decisions::RunState)
{
}

} // namespace Verbena::Router
