#include "prometheustext.h"

#include <array>
#include <cstdio>

namespace Verbena::Observe {

std::string escapePrometheusLabel(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string prometheusNumber(double value)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.6g", value);
    return buffer.data();
}

} // namespace Verbena::Observe
