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

/// \brief Returns why \a dispatch is invalid; nothing if it is valid.
std::optional<std::string> problemOf(const verbena::wire::Dispatch &dispatch);

/// \brief Returns the data of \a run that admission needs.
Decisions::GateRequest gateRequestOf(const AgentRun &run);

std::vector<Decisions::PrefixKey> prefixKeysOf(const google::protobuf::RepeatedField<std::uint64_t> &keys);

verbena::wire::RefusalReason refusalReasonOf(Decisions::GateRefusal reason);

verbena::wire::EndKind endKindOf(BackendEnd::Kind kind);

/// \brief Returns the data of the end of \a run that admission needs.
Decisions::RunOutcome outcomeOf(const AgentRun &run, const BackendEnd &end);

/// \brief Writes the end of \a run to \a ended, except for sequence and load.
void fillEnded(const AgentRun &run, verbena::wire::EndKind kind, const BackendEnd &end, verbena::wire::Ended &ended);

/// \brief Writes \a load and \a heat to \a hint.
void fillLoadHint(const Decisions::LoadReport &load, const std::optional<Decisions::HotPrefixHint> &heat, verbena::wire::LoadHint &hint);

} // namespace Verbena::Agent
