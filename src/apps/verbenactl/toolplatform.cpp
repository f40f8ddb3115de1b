#include "toolplatform.h"

#include <fstream>

namespace Verbena::Tool {

Core::Result<std::unique_ptr<ToolPlatform>> ToolPlatform::create(const Arguments &arguments)
{
    if (arguments.platformUrl.empty()) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "platform.connect", "", "Give the platform's address with --platform."};
    }
    VERBENA_TRY(loop, EventLoop::Loop::create());
    VERBENA_TRY(platform, Store::HttpPlatform::create(*loop, arguments.platformUrl));
    return std::unique_ptr<ToolPlatform>(new ToolPlatform(std::move(loop), std::move(platform), arguments.timeout));
}

ToolPlatform::ToolPlatform(std::unique_ptr<EventLoop::Loop> loop, std::unique_ptr<Store::HttpPlatform> platform, std::chrono::milliseconds timeout)
    : m_loop(std::move(loop))
    , m_platform(std::move(platform))
    , m_table(*m_platform,
          {[this] { return m_loop->now(); },
              [this](const bool &isDone) {
                  while (!isDone) {
                      m_loop->runOnce();
                  }
              }},
          timeout)
{
}

EventLoop::Loop &ToolPlatform::loop()
{
    return *m_loop;
}

Operator::TreeTable &ToolPlatform::table()
{
    return m_table;
}

Core::Result<std::string> readFirstLine(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    if (!file || !std::getline(file, line) || line.empty()) {
        return Core::Error{Core::ErrorCode::NotFound, "key.read", path, "The file cannot be opened or its first line is empty."};
    }
    return line;
}

Core::Result<Operator::OperatorIdentity> identityOf(const Arguments &arguments)
{
    Operator::OperatorIdentity identity{arguments.operatorName, {}};
    if (!arguments.operatorKeyFile.empty()) {
        VERBENA_TRY(key, readFirstLine(arguments.operatorKeyFile));
        identity.key = key;
    }
    return identity;
}

} // namespace Verbena::Tool
