// A router gets SIGTERM while streams run that last longer than graceS: how its process ends. Usage: long_streams RECORD
#include "standins.hpp"

using namespace review;

namespace {

constexpr int deadlineMs = 15'000;
constexpr int eventIntervalMs = 250;
constexpr int events = 48; // 12 s, within the deadline.
constexpr int streams = 4;
constexpr int graceMs = 8000;

void work(int fd)
{
    Reader reader(fd);
    const Message request = reader.read(30'000, false);
    if (!request.isWhole) {
        return;
    }
    const std::string attempt = request.field("Verbenaladder-Attempt-Id");
    record("worker runs " + attempt);
    sendAll(fd,
        "HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + attempt
            + "\r\nVerbenaladder-Server-Stamp: stamp.i-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= events; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!sendAll(fd, size + event + "\r\n")) {
            return;
        }
        sleepMs(eventIntervalMs);
    }
    sendAll(fd, "0\r\n\r\n");
    char rest = 0;
    (void)!recv(fd, &rest, 1, 0);
}

// Waits until the process has ended, or kills it after \a patienceMs as the platform does. Returns its wait status.
std::optional<int> awaitEnd(pid_t pid, std::int64_t patienceMs)
{
    const std::int64_t deadline = nowMs() + patienceMs;
    while (nowMs() < deadline) {
        if (const auto status = Processes::instance().ended(pid)) {
            return status;
        }
        sleepMs(20);
    }
    Processes::instance().kill(pid);
    return std::nullopt;
}

} // namespace

int main(int argc, char **argv)
{
    (void)argc;
    prepare(argv[1]);
    const std::string frontIp = hostAddress(1);
    const std::string workerIp = hostAddress(100);
    Store store(hostAddress(250), storePort);
    const Listener worker(workerIp, workerPort, [](int fd) { work(fd); });
    store.put("op", "config", configuration(3, {{"brief", "/brief/", "streaming", "reader", deadlineMs, 2, true}}, {"reader"}));
    store.put("servers", "i-1", serverRow("reader", workerIp + ":" + std::to_string(workerPort), 1, "ready", 96));
    const pid_t router = startHost({.name = "front-1", .ip = frontIp, .engine = ""});
    awaitReady(frontIp);
    std::atomic<int> whole{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < streams; ++number) {
        clients.emplace_back([&, number] {
            const std::string id = "stream" + std::to_string(number);
            const int fd = connectTo(frontIp, callersPort);
            record("client sends " + id);
            sendAll(fd, requestText("POST", "/brief/a", id, deadlineMs, "prompt"));
            Reader reader(fd);
            const Message answer = reader.read(deadlineMs + 1000, true);
            close(fd);
            whole += answer.isWhole && answer.status() == 200 ? 1 : 0;
            record("client gets for " + id + ": status " + std::to_string(answer.status()) + ", " + std::to_string(answer.body.size()) + " bytes, "
                + (answer.isWhole ? "complete" : "incomplete (" + answer.end + ")"));
        });
    }
    sleepMs(500);
    if (!hasTrouble()) {
        // Without the disruption the router is stopped only after the streams have ended.
        for (std::thread &client : clients) {
            client.join();
        }
        clients.clear();
    }
    record("the router gets SIGTERM");
    kill(router, SIGTERM);
    const std::optional<int> status = awaitEnd(router, graceMs);
    std::string end = "did not end and was killed";
    if (status.has_value()) {
        end = WIFSIGNALED(*status) ? "crashed with signal " + std::to_string(WTERMSIG(*status)) : "exited with " + std::to_string(WEXITSTATUS(*status));
    }
    record("the router " + end);
    for (std::thread &client : clients) {
        client.join();
    }
    std::printf("the router %s; %d of %d streams were whole\n", end.c_str(), whole.load(), streams);
    finish(status.has_value() && WIFSIGNALED(*status) ? 1 : 0);
}
