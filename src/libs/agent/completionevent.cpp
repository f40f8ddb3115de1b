#include "completionevent.h"

#include <json/jsontext.h>

namespace Verbena::Agent {

namespace {

using nlohmann::json;

constexpr std::string_view textKey = "\"text\":";

// Texts that need no JSON escapes stand in the event as they are.
bool isPlain(std::string_view text)
{
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x20 || byte > 0x7e || byte == '"' || byte == '\\') {
            return false;
        }
    }
    return true;
}

std::optional<CompletionUsage> usageIn(const json &event)
{
    const auto usage = event.find("usage");
    if (usage == event.end() || !usage->is_object()) {
        return std::nullopt;
    }
    CompletionUsage result;
    result.promptTokens = JsonText::wholeNumber32(*usage, "prompt_tokens");
    result.completionTokens = JsonText::wholeNumber32(*usage, "completion_tokens");
    const auto details = usage->find("prompt_tokens_details");
    if (details != usage->end() && details->is_object() && details->contains("cached_tokens")) {
        result.cachedTokens = JsonText::wholeNumber32(*details, "cached_tokens");
    }
    return result;
}

} // namespace

std::optional<CompletionEvent> CompletionEventReader::read(std::string_view data)
{
    if (m_hasForm && data.size() >= m_formBefore.size() + m_formAfter.size() && data.starts_with(m_formBefore) && data.ends_with(m_formAfter)) {
        const std::string_view text = data.substr(m_formBefore.size(), data.size() - m_formBefore.size() - m_formAfter.size());
        if (isPlain(text)) {
            return CompletionEvent{text, {}, std::nullopt, {}};
        }
    }
    std::optional<CompletionEvent> event = parse(data);
    if (event && !m_hasForm && !event->text.empty() && event->finishReason.empty() && !event->usage) {
        learnForm(data);
    }
    return event;
}

std::optional<CompletionEvent> CompletionEventReader::parse(std::string_view data)
{
    const auto parsed = JsonText::parse(data);
    if (!parsed || !parsed.value().is_object()) {
        return std::nullopt;
    }
    const json &root = parsed.value();
    CompletionEvent event;
    event.usage = usageIn(root);
    const auto error = root.find("error");
    if (error != root.end()) {
        m_error = error->is_object() ? JsonText::textOrEmpty(*error, "message") : error->dump();
        event.error = m_error;
    }
    const auto choices = root.find("choices");
    if (choices != root.end() && choices->is_array() && !choices->empty() && choices->front().is_object()) {
        m_text = JsonText::textOrEmpty(choices->front(), "text");
        m_finishReason = JsonText::textOrEmpty(choices->front(), "finish_reason");
        event.text = m_text;
        event.finishReason = m_finishReason;
    }
    return event;
}

// A form is taken only if two events that have it and another text read the same but for that text.
void CompletionEventReader::learnForm(std::string_view data)
{
    const std::string text = m_text;
    const std::size_t key = data.find(textKey);
    const std::string quoted = "\"" + text + "\"";
    const std::size_t begin = key == std::string_view::npos ? key : data.find(quoted, key + textKey.size());
    if (!isPlain(text) || begin == std::string_view::npos) {
        return;
    }
    const std::string before(data.substr(0, begin + 1));
    const std::string after(data.substr(begin + 1 + text.size()));
    const json original = json::parse(data, nullptr, false);
    json changed = json::parse(before + "?" + after, nullptr, false);
    if (changed.is_discarded() || !changed["choices"][0]["text"].is_string() || changed["choices"][0]["text"] != "?") {
        return;
    }
    changed["choices"][0]["text"] = text;
    if (changed == original && parse(before + "?" + after)->text == "?") {
        m_formBefore = before;
        m_formAfter = after;
        m_hasForm = true;
    }
    m_text = text;
}

} // namespace Verbena::Agent
