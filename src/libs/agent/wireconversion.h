#pragma once

#include "backendadapter.h"
#include "runtable.h"

#include <decisions/gate/gatetypes.h>
#include <decisions/gate/prefixloadmeter.h>
#include <decisions/routing/routechooser.h>

#include <verbena.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Agent {

/// \brief Why \a dispatch cannot be taken at all; nothing if it can.
std::optional<std::string> problemOf(const verbena::wire::Dispatch &dispatch);

/// \brief What the gate has to know of \a run.
Decisions::GateRequest gateRequestOf(const AgentRun &run);

std::vector<Decisions::PrefixKey> prefixKeysOf(const google::protobuf::RepeatedField<std::uint64_t> &keys);

verbena::wire::RefusalReason refusalReasonOf(Decisions::GateRefusal reason);

verbena::wire::EndKind endKindOf(BackendEnd::Kind kind);

/// \brief What the gate has to know of the end of \a run.
Decisions::RunOutcome outcomeOf(const AgentRun &run, const BackendEnd &end);

/// \brief Writes all but sequence and load of the end of \a run to \a ended.
void fillEnded(const AgentRun &run, verbena::wire::EndKind kind, const BackendEnd &end, verbena::wire::Ended &ended);

/// \brief Writes \a load and \a heat to \a hint.
void fillLoadHint(const Decisions::LoadReport &load, const std::optional<Decisions::HotPrefixHint> &heat, verbena::wire::LoadHint &hint);

} // namespace Verbena::Agent
