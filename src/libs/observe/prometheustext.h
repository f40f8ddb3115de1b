#pragma once

#include <string>

namespace Verbena::Observe {

/// \brief \a value as a label value: backslash, quote and line end are escaped.
std::string escapePrometheusLabel(const std::string &value);

/// \brief \a value with six digits, as Prometheus reads it.
std::string prometheusNumber(double value);

} // namespace Verbena::Observe
