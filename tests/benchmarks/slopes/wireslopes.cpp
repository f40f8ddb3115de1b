#include "measure.h"
#include "slopelist.h"

#include <verbena.pb.h>

namespace Verbena::Bench {

namespace {

namespace wire = verbena::wire;

constexpr const char *requestId = "0123456789abcdef";

void fillLoad(wire::LoadHint &load)
{
    load.set_incarnation(1'764'691'200'000'000);
    load.set_queued_work_us(85'000);
    load.set_running(28);
    load.set_queued(6);
    load.set_overload_level(12);
    load.set_prefill_us_per_piece(98'000);
    load.set_heat_width(4);
    load.set_heat_key(0x123456789abcdefULL);
}

double size(const wire::Envelope &envelope)
{
    // Each message between processes has one part; ZeroMQ puts at most nine bytes before it.
    constexpr double framing = 9;
    return static_cast<double>(envelope.ByteSizeLong()) + framing;
}

/// An answer whose every frame holds one token.
double bytesOfAnswer(int tokens)
{
    double bytes = 0;
    for (int i = 1; i <= tokens; ++i) {
        wire::Envelope envelope;
        wire::Frame &frame = *envelope.mutable_frame();
        frame.set_request(requestId);
        frame.set_attempt(1);
        frame.set_sequence(static_cast<std::uint64_t>(i));
        frame.set_tokens(1);
        frame.set_text(" word");
        bytes += size(envelope);
    }
    return bytes;
}

/// A request without its body, the admission and the end.
double bytesAroundAnswer(int pieces)
{
    wire::Envelope dispatch;
    wire::Dispatch &sent = *dispatch.mutable_dispatch();
    sent.set_request(requestId);
    sent.set_attempt(1);
    sent.set_organisation("organisation12345");
    sent.set_team("team1");
    sent.set_request_class("urgent");
    sent.set_model("analyst");
    sent.set_adapter("wall");
    sent.set_weights_version("7");
    sent.set_prompt_tokens(32'768);
    sent.set_maximum_tokens(450);
    sent.set_deadline_left_us(30'000'000);
    sent.set_idempotent(true);
    sent.set_expected_incarnation(1'764'691'200'000'000);
    sent.set_path("/v1/completions");
    for (int i = 0; i < pieces; ++i) {
        sent.add_prefix_keys(0x123456789abcdefULL + static_cast<std::uint64_t>(i));
    }
    wire::Envelope admitted;
    admitted.mutable_admitted()->set_request(requestId);
    admitted.mutable_admitted()->set_attempt(1);
    fillLoad(*admitted.mutable_admitted()->mutable_load());
    wire::Envelope ended;
    ended.mutable_ended()->set_request(requestId);
    ended.mutable_ended()->set_attempt(1);
    ended.mutable_ended()->set_sequence(451);
    fillLoad(*ended.mutable_ended()->mutable_load());
    return size(dispatch) + size(admitted) + size(ended);
}

/// What tells a router of one more backend server's load, on a reply that it gets anyway.
double bytesOfLoadHints(int count)
{
    wire::LoadHint load;
    fillLoad(load);
    return static_cast<double>(load.ByteSizeLong()) * count;
}

/// What a router says to an agent and back to know that it is there, between requests.
double bytesOfHeartbeats(int count)
{
    wire::Envelope hello;
    hello.mutable_hello();
    wire::Envelope welcome;
    welcome.mutable_welcome()->set_name("analyst-01");
    welcome.mutable_welcome()->set_incarnation(0x123456789abcdefULL);
    fillLoad(*welcome.mutable_welcome()->mutable_load());
    wire::ModelState &model = *welcome.mutable_welcome()->add_models();
    model.set_model("analyst");
    model.set_weights_version("2026-11");
    return (size(hello) + size(welcome)) * count;
}

} // namespace

std::vector<Slope> wireSlopes()
{
    return {
        measureSlope({"frame_bytes", "tokens", "bytes", {}}, {100, 200, 400, 800}, bytesOfAnswer),
        measureSlope({"dispatch_bytes", "pieces of the prompt", "bytes without the body", {}}, {1, 4, 16, 64}, bytesAroundAnswer),
        measureSlope({"load_hint_bytes", "replies", "bytes", {}}, {1, 2, 4}, bytesOfLoadHints),
        measureSlope({"heartbeat_bytes", "heartbeats", "bytes", {}}, {1, 2, 4}, bytesOfHeartbeats),
    };
}

} // namespace Verbena::Bench
