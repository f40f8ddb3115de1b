#pragma once

#include <decisions/routing/prefixchain.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace Verbena::Decisions {

/// \brief The assignment of prompts to home failure domains.
class HomeDomains
{
public:
    /// \brief Removes all engines.
    void clear();

    /// \brief Adds an engine in \a domain that serves \a model at \a service.
    void addEngine(const std::string &service, const std::string &model, const std::string &domain);

    /// \brief Returns the home failure domain of \a prompt; at least one engine must serve \a model at \a service.
    std::string homeOf(const std::string &service, const std::string &model, PrefixKey prompt) const;

private:
    std::map<std::pair<std::string, std::string>, std::map<std::string, std::size_t>> m_domains; ///< Engine count by service and model, then by failure domain.
};

} // namespace Verbena::Decisions
