#pragma once

#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief Number of events in a whole stream.
inline constexpr int streamEvents = 12;

/// \brief The software versions that backend servers may have.
const std::vector<std::string> &softwareVersions();

/// \brief Returns the data of event \a number of the stream that the body \a token asks for at a backend server of \a software.
std::string eventText(int number, const std::string &token, const std::string &software);

/// \brief Returns whether \a text is the beginning of the stream for \a token, all of one software version.
bool isBeginningOfStream(const std::string &text, const std::string &token);

/// \brief Returns whether \a text is the whole stream for \a token, all of one software version.
bool isWholeStream(const std::string &text, const std::string &token);

} // namespace Verbena::Soak
