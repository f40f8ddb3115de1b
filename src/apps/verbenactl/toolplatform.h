#pragma once

#include "arguments.h"

#include <core/result.h>
#include <eventloop/loop.h>
#include <operator/operatoridentity.h>
#include <operator/treetable.h>
#include <store/httpplatform.h>

#include <memory>

namespace Verbena::Tool {

/// \brief The platform as verbenactl reaches it.
class ToolPlatform
{
public:
    /// \brief Errors: InvalidArgument, if no platform was named; those of HttpPlatform.
    static Core::Result<std::unique_ptr<ToolPlatform>> create(const Arguments &arguments);

    EventLoop::Loop &loop();
    Operator::TreeTable &table();

private:
    ToolPlatform(std::unique_ptr<EventLoop::Loop> loop, std::unique_ptr<Store::HttpPlatform> platform, std::chrono::milliseconds timeout);

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<Store::HttpPlatform> m_platform;
    Operator::TreeTable m_table;
};

/// \brief The first line of the file at \a path. Errors: NotFound; they never show what the file holds.
Core::Result<std::string> readFirstLine(const std::string &path);

/// \brief The operator that the command line names. Errors: NotFound, if the key cannot be read.
Core::Result<Operator::OperatorIdentity> identityOf(const Arguments &arguments);

} // namespace Verbena::Tool
