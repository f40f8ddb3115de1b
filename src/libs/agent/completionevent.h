#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Agent {

/// \brief The token counts that an engine reports for one completion.
struct CompletionUsage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::optional<std::uint32_t> cachedTokens; ///< Number of prompt tokens that were cached; nothing if the engine does not report it.

    bool operator==(const CompletionUsage &) const = default;
};

/// \brief One event of a streamed completion.
struct CompletionEvent
{
    std::string_view text; ///< Valid until the reader is used again.
    std::string_view finishReason; ///< Reason why the answer ended, empty before; valid as long as #text.
    std::optional<CompletionUsage> usage;
    std::string_view error; ///< The engine's error message, empty if there is none; valid as long as #text.
};

/// \brief Parses the events of one stream, most of which differ only in their text.
class CompletionEventReader
{
public:
    /// \brief Parses the JSON of one event; returns nothing if it does not have the known form.
    std::optional<CompletionEvent> read(std::string_view data);

private:
    std::optional<CompletionEvent> parse(std::string_view data);
    void learnForm(std::string_view data);

    // Bytes before and after the text of an event that has only text; another event with these bytes is read without the JSON parser.
    std::string m_formBefore;
    std::string m_formAfter;
    bool m_hasForm = false;
    std::string m_text;
    std::string m_finishReason;
    std::string m_error;
};

} // namespace Verbena::Agent
