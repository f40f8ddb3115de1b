#pragma once

#include <string_view>

namespace Verbena::Http {

/// \brief Finds folded fields in a head that comes in pieces. Each byte is looked at once.
class FoldScanner
{
public:
    /// \brief Scans \a bytes, which follow those scanned before. Returns whether a line of the head begins with a blank.
    bool scan(std::string_view bytes);

private:
    enum class Position {
        InLine,
        AfterCarriageReturn,
        AtLineStart, ///< Behind the line end of the line before.
        InBlankLine, ///< Behind the carriage return of a blank line, which ends the head.
        BehindHead,
    };

    static Position next(Position position, char byte);

    Position m_position = Position::InLine;
};

} // namespace Verbena::Http
