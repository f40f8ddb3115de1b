#include "origininquiry.h"

namespace Verbena::Decisions {

OriginInquiry::OriginInquiry(StreamKey key, std::string service, std::chrono::milliseconds longestStream, const std::vector<std::string> &replicas)
    : m_key(std::move(key))
    , m_service(std::move(service))
    , m_longestStream(longestStream)
    , m_asked(replicas.begin(), replicas.end())
    , m_silent(m_asked)
{
}

// The wrong origin would join the parts of two streams, while a missing answer costs a short wait.
void OriginInquiry::handleAnswer(const std::string &replica, const std::optional<ToldOrigin> &told)
{
    const bool isOfOther = told.has_value() && told->key != m_key;
    if (isOfOther || !m_asked.contains(replica)) {
        return;
    }
    m_silent.erase(replica);
    if (told.has_value()) {
        const bool isOther = m_origin.has_value() && *m_origin != told->origin;
        m_origin = told->origin;
        m_origin->isDisputed = m_origin->isDisputed || isOther;
    }
}

void OriginInquiry::handleRegister(const std::optional<SoleSoftware> &sole)
{
    m_isRegisterKnown = true;
    if (sole.has_value() && sole->duration >= m_longestStream) {
        m_soleVersion = sole->version;
    }
}

bool OriginInquiry::isRegisterKnown() const
{
    return m_isRegisterKnown;
}

bool OriginInquiry::isDecided() const
{
    return m_origin.has_value() || m_soleVersion.has_value() || (m_isRegisterKnown && m_silent.empty());
}

const std::set<std::string> &OriginInquiry::silentReplicas() const
{
    return m_silent;
}

std::optional<StreamOrigin> OriginInquiry::result() const
{
    if (m_origin.has_value()) {
        return m_origin->isDisputed ? std::nullopt : m_origin;
    }
    return m_soleVersion.has_value() ? std::optional(StreamOrigin{m_service, *m_soleVersion, false}) : std::nullopt;
}

} // namespace Verbena::Decisions
