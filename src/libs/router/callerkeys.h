#pragma once

#include "routersettings.h"

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief Whom a request is made for.
struct Caller
{
    std::string organisation;
    std::string team;
};

/// \brief The keys that callers show as bearer tokens, known by their hashes only.
class CallerKeys
{
public:
    explicit CallerKeys(std::vector<CallerKeySetting> keys);

    /// \brief Whom \a authorization, the value of the header field, stands for; nothing if the key is not known.
    std::optional<Caller> find(const std::string &authorization) const;

private:
    std::vector<CallerKeySetting> m_keys;
};

} // namespace Verbena::Router
