#pragma once

#include <map>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief What a server answered; status 0 means that no whole answer came.
struct TestAnswer
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> fields; ///< Names in lower case.
};

/// \brief Sends one request and waits for its whole answer.
TestAnswer sendHttp(const std::string &method, const std::string &url, const std::vector<std::string> &fields, const std::string &body);

} // namespace Verbena::Test
