#pragma once

#include "softwareversions.h"
#include "streamorigins.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a replica was told of a stream.
struct ToldOrigin
{
    StreamKey key;
    StreamOrigin origin;
};

/// \brief Collects what is known of the origin of a stream that a caller resumes, and decides where it may go on.
///
/// Without an origin, the stream may go on only if the register, as of a moment after the inquiry began, shows one software version to have been the only one
/// for longer than a stream lasts. A copy that is older may lack the version at which the stream began.
class OriginInquiry
{
public:
    /// \brief Asks for the stream \a key on \a service, of which none lasts longer than \a longestStream, at \a replicas.
    OriginInquiry(StreamKey key, std::string service, std::chrono::milliseconds longestStream, const std::vector<std::string> &replicas);

    /// \brief Handles the answer of \a replica; \a told is empty if it was not told of the stream. An answer that is about another stream, or from a
    /// replica that was not asked, is ignored.
    void handleAnswer(const std::string &replica, const std::optional<ToldOrigin> &told);

    /// \brief Handles that the register was verified after the inquiry began; \a sole is the only software version of the service by it, if there is one.
    void handleRegister(const std::optional<SoleSoftware> &sole);

    /// \brief Returns whether the register has been verified since the inquiry began.
    bool isRegisterKnown() const;

    /// \brief Returns whether the result need not wait for more: it is known, or all that were asked have answered.
    bool isDecided() const;

    /// \brief Returns the replicas that have not answered.
    const std::set<std::string> &silentReplicas() const;

    /// \brief Returns where the stream may go on, by what is known so far; nothing if that is not known.
    std::optional<StreamOrigin> result() const;

private:
    StreamKey m_key;
    std::string m_service;
    std::chrono::milliseconds m_longestStream;
    std::set<std::string> m_asked; ///< All replicas that were asked.
    std::set<std::string> m_silent; ///< Those that have not answered.
    std::optional<StreamOrigin> m_origin;
    bool m_isRegisterKnown = false;
    std::optional<std::string> m_soleVersion; ///< Only version for longer than a stream lasts, by the register.
};

} // namespace Verbena::Decisions
