#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Agent {

/// \brief What an engine counted for one completion.
struct CompletionUsage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::optional<std::uint32_t> cachedTokens; ///< Of the prompt; absent if the engine does not tell.

    bool operator==(const CompletionUsage &) const = default;
};

/// \brief One event of a streamed completion.
struct CompletionEvent
{
    std::string_view text; ///< Valid until the reader is used again.
    std::string_view finishReason; ///< Empty while the answer goes on; valid like #text.
    std::optional<CompletionUsage> usage;
    std::string_view error; ///< What the engine says went wrong; valid like #text.
};

/// \brief Reads the events of one stream, which differ from each other in little more than the text.
class CompletionEventReader
{
public:
    /// \brief Reads the JSON of one event; nothing if it is not JSON of the known form.
    std::optional<CompletionEvent> read(std::string_view data);

private:
    std::optional<CompletionEvent> parse(std::string_view data);
    void learnForm(std::string_view data);

    // Bytes around the plain text of an event that says nothing else; an event of the same form needs no parser.
    std::string m_formBefore;
    std::string m_formAfter;
    bool m_hasForm = false;
    std::string m_text;
    std::string m_finishReason;
    std::string m_error;
};

} // namespace Verbena::Agent
