#include "answerwriter.h"

namespace Verbena::Router {

const char *runStateName(Decisions::RunState run)
{
    switch (run) {
    case Decisions::RunState::NotRun:
        return "not-run";
    case Decisions::RunState::Run:
        return "run";
    case Decisions::RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Verbena::Router
