#pragma once

#include <decisions/routing/prefixchain.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace Verbena::Decisions {

/// \brief In which failure domain prompts are at home.
class HomeDomains
{
public:
    /// \brief Forgets all engines.
    void clear();

    /// \brief One more engine in \a domain serves \a model at \a service.
    void addEngine(const std::string &service, const std::string &model, const std::string &domain);

    /// \brief The failure domain of \a prompt; some engine has to serve \a model at \a service.
    std::string homeOf(const std::string &service, const std::string &model, PrefixKey prompt) const;

private:
    std::map<std::pair<std::string, std::string>, std::map<std::string, std::size_t>> m_domains; ///< Engines by service and model, then by failure domain.
};

} // namespace Verbena::Decisions
