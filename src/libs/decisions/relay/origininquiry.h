#pragma once

#include "softwareversions.h"
#include "streamorigins.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What one process knows of the origin of a stream.
struct OriginAnswer
{
    std::optional<StreamOrigin> origin; ///< Nothing if the process was not told.
    std::optional<SoleSoftware> soleSoftware; ///< Only software version of the caller's service, as far as the process follows it.
};

/// \brief Collects what processes know of the origin of a stream that a caller resumes, and decides where it may go on.
///
/// Without an origin, the stream may go on only if some process knows one software version to have been the only one for longer than a stream lasts.
class OriginInquiry
{
public:
    /// \brief Asks for a stream on \a service, of which none lasts longer than \a longestStream, at \a replicas.
    OriginInquiry(std::string service, std::chrono::milliseconds longestStream, const std::vector<std::string> &replicas);

    /// \brief Handles the answer of \a replica, or of this process itself if it is empty.
    void handleAnswer(const std::string &replica, const OriginAnswer &answer);

    /// \brief Returns whether the result need not wait for more answers: an origin is known, or all replicas have answered.
    bool isDecided() const;

    /// \brief Returns the replicas that have not answered.
    const std::set<std::string> &silentReplicas() const;

    /// \brief Returns where the stream may go on, by the answers so far; nothing if that is not known.
    std::optional<StreamOrigin> result() const;

private:
    std::string m_service;
    std::chrono::milliseconds m_longestStream;
    std::set<std::string> m_silent;
    std::optional<StreamOrigin> m_origin;
    std::optional<std::string> m_soleVersion; ///< Only version for longer than a stream lasts, by any answer.
};

} // namespace Verbena::Decisions
