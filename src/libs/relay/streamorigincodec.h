#pragma once

#include <decisions/relay/origininquiry.h>

#include <verbena.pb.h>

#include <chrono>
#include <optional>

namespace Verbena::Relay {

/// \brief Encodes that the stream \a key began at \a origin; the receiver keeps it for \a lifetime.
verbena::wire::StreamOrigin encodeOrigin(const Decisions::StreamKey &key, const Decisions::StreamOrigin &origin, std::chrono::milliseconds lifetime);

/// \brief Decodes the identity of a stream.
Decisions::StreamKey decodeKey(const verbena::wire::StreamOrigin &origin);

/// \brief Decodes where a stream began.
Decisions::StreamOrigin decodeOrigin(const verbena::wire::StreamOrigin &origin);

/// \brief Encodes the answer to the query of number \a id for the stream \a key; \a origin is empty if it was not told.
verbena::wire::StreamOriginAnswer encodeAnswer(std::uint64_t id, const Decisions::StreamKey &key, const std::optional<Decisions::StreamOrigin> &origin);

/// \brief Decodes what a replica was told; nothing if it was not.
std::optional<Decisions::ToldOrigin> decodeAnswer(const verbena::wire::StreamOriginAnswer &answer);

} // namespace Verbena::Relay
