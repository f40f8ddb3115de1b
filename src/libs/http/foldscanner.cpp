#include "foldscanner.h"

namespace Verbena::Http {

bool FoldScanner::scan(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (m_position == Position::BehindHead) {
            return false;
        }
        if (m_position == Position::AtLineStart && (byte == ' ' || byte == '\t')) {
            return true;
        }
        m_position = next(m_position, byte);
    }
    return false;
}

FoldScanner::Position FoldScanner::next(Position position, char byte)
{
    if (byte == '\r') {
        return position == Position::AtLineStart ? Position::InBlankLine : Position::AfterCarriageReturn;
    }
    if (byte != '\n') {
        return Position::InLine;
    }
    if (position == Position::InBlankLine) {
        return Position::BehindHead;
    }
    return position == Position::AfterCarriageReturn ? Position::AtLineStart : Position::InLine;
}

} // namespace Verbena::Http
