#pragma once

#include <decisions/relay/streamorigins.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief A running stream that its caller may resume, also at another router.
struct RunningStream
{
    Decisions::StreamKey key;
    Decisions::StreamOrigin origin;
    std::chrono::milliseconds longestStream{0}; ///< Time for which a caller may go on resuming a stream.
};

/// \brief A caller's question where the stream that it resumes began.
struct OriginRequest
{
    Decisions::StreamKey key;
    std::string service; ///< Service of the caller's route.
    std::chrono::milliseconds longestStream{0}; ///< Time for which a caller may go on resuming a stream.
};

/// \brief Keeps track, for all routers together, of where streams began, so that callers can resume them there.
class StreamOriginControl
{
public:
    /// \brief Called with where the stream may go on; with nothing if that is not known.
    using Callback = std::function<void(const std::optional<Decisions::StreamOrigin> &origin)>;

    virtual ~StreamOriginControl() = default;

    /// \brief Records that the first event of \a stream is about to be forwarded. Returns a number for recordEnded().
    virtual std::uint64_t recordBegun(const RunningStream &stream) = 0;

    /// \brief Records the end of the stream of \a number; \a isWhole: its caller has got all of it and will not resume it.
    virtual void recordEnded(std::uint64_t number, bool isWhole) = 0;

    /// \brief Looks up where the stream of \a request began. Returns a number for withdraw(), or 0 if \a done has already been called.
    virtual std::uint64_t find(const OriginRequest &request, Callback done) = 0;

    /// \brief Cancels the callback of \a number.
    virtual void withdraw(std::uint64_t number) = 0;
};

} // namespace Verbena::Relay
