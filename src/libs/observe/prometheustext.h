#pragma once

#include <string>

namespace Verbena::Observe {

/// \brief Returns \a value as a label value, with backslashes, quotes and line feeds escaped.
std::string escapePrometheusLabel(const std::string &value);

/// \brief Returns \a value with six significant digits in the format of Prometheus.
std::string prometheusNumber(double value);

} // namespace Verbena::Observe
