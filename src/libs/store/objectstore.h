#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>

namespace Verbena::Store {

/// \brief Interface to the platform's object store.
class ObjectStore
{
public:
    using GetCallback = std::function<void(Core::Result<std::string>)>;
    using PutCallback = std::function<void(Core::Result<void>)>;

    virtual ~ObjectStore() = default;
    virtual void get(const std::string &name, Core::TimePoint deadline, GetCallback done) = 0;
    virtual void put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done) = 0;
};

} // namespace Verbena::Store
