// A worker crashes in the middle of an answer without a length and is started again, while the router stands still. Usage: frozen_router RECORD;
// with "worker" IP PORT ID it is the worker itself, a process of its own that can be killed.
#include "standins.hpp"

using namespace review;

namespace {

const std::string firstHalf(400, 'a');
const std::string secondHalf(400, 'b');
constexpr int answerMs = 600; // Time between the halves of an answer.
constexpr int crashMs = 1000; // Time for which the worker is gone.
constexpr int freezeMs = 1500; // Time for which the router stands still.
constexpr int deadlineMs = 2500;
constexpr int rounds = 6;

void work(int fd, const std::string &id)
{
    Reader reader(fd);
    const Message request = reader.read(30'000, false);
    if (!request.isWhole) {
        return;
    }
    if (request.target() == "/health") {
        sendAll(fd, answerText("200 OK", "Verbenaladder-Instance-Id: " + id + "\r\n", ""));
        return;
    }
    if (!request.field("Verbenaladder-Expect-Instance").empty() && request.field("Verbenaladder-Expect-Instance") != id) {
        sendAll(fd, answerText("421 Misdirected", "Verbenaladder-Instance-Id: " + id + "\r\n", ""));
        return;
    }
    const std::string attempt = request.field("Verbenaladder-Attempt-Id");
    const std::string head = "HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + attempt + "\r\nVerbenaladder-Server-Stamp: stamp." + id
        + "\r\nConnection: close\r\n";
    std::printf("worker %s runs %s\n", id.c_str(), attempt.c_str());
    std::fflush(stdout);
    if (request.target().starts_with("/stream/")) {
        sendAll(fd, head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n");
        sleepMs(answerMs);
        sendAll(fd, "id: 3\ndata: three\n\nid: 4\ndata: last\n\n");
    } else {
        sendAll(fd, head + "Content-Type: text/plain\r\n\r\n" + firstHalf);
        sleepMs(answerMs);
        sendAll(fd, secondHalf);
    }
    // The answer ends with its channel.
    shutdown(fd, SHUT_WR);
    char rest = 0;
    (void)!recv(fd, &rest, 1, 0);
}

int runWorker(char **arguments)
{
    const std::string id = arguments[4];
    signal(SIGPIPE, SIG_IGN);
    const Listener listener(arguments[2], std::atoi(arguments[3]), [id](int fd) { work(fd, id); });
    while (true) {
        pause();
    }
}

struct World
{
    Store store{hostAddress(250), storePort};
    std::string frontIp = hostAddress(1);
    std::string workerIp = hostAddress(100);
    std::string program;
    pid_t router = 0;
    pid_t worker = 0;
    int boot = 0;

    std::string workerId() const
    {
        return "i-" + std::to_string(boot);
    }

    void startWorker()
    {
        ++boot;
        worker = Processes::instance().start({program, "worker", workerIp, std::to_string(workerPort), workerId()}, folder() + "/worker-1.log");
        record("worker " + workerId() + " is started at " + workerIp);
        store.put("servers", workerId(), serverRow("ledger", workerIp + ":" + std::to_string(workerPort), 1));
    }
};

// Returns whether the client takes an answer for whole that is not.
bool askOnce(const World &world, const std::string &id, bool isStream, Message &answer)
{
    const int fd = connectTo(world.frontIp, callersPort);
    record("client sends " + id + (isStream ? " (stream)" : " (plain)"));
    sendAll(fd, requestText(isStream ? "POST" : "GET", isStream ? "/stream/a/" : "/plain/a/", id, deadlineMs, isStream ? "x" : ""));
    Reader reader(fd);
    answer = reader.read(deadlineMs + 2500, true);
    close(fd);
    const std::string whole
        = isStream ? "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\nid: 4\ndata: last\n\n" : firstHalf + secondHalf;
    const bool looksWhole = answer.hasHead && answer.isWhole && answer.status() == 200;
    record("client gets for " + id + ": status " + std::to_string(answer.status()) + ", stamp '" + answer.field("Verbenaladder-Server-Stamp") + "', "
        + std::to_string(answer.body.size()) + " of " + std::to_string(whole.size()) + " bytes, " + (answer.isWhole ? "complete" : "incomplete (" + answer.end + ")"));
    return looksWhole && answer.body != whole;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 5 && std::string(argv[1]) == "worker") {
        return runWorker(argv);
    }
    prepare(argv[1]);
    World world;
    world.program = argv[0];
    world.store.put("op",
        "config",
        configuration(3,
            {{"plain", "/plain/", "idempotent", "ledger", deadlineMs, 1}, {"stream", "/stream/", "streaming", "ledger", deadlineMs, 1}},
            {"ledger"}));
    world.startWorker();
    world.router = startHost({.name = "front-1", .ip = world.frontIp, .engine = ""});
    awaitReady(world.frontIp);
    int broken = 0;
    int served = 0;
    for (int round = 1; round <= rounds; ++round) {
        Message plainAnswer;
        Message streamAnswer;
        bool isPlainBroken = false;
        bool isStreamBroken = false;
        std::thread plain([&] { isPlainBroken = askOnce(world, "plain" + std::to_string(round), false, plainAnswer); });
        std::thread stream([&] { isStreamBroken = askOnce(world, "stream" + std::to_string(round), true, streamAnswer); });
        sleepMs(200);
        if (hasTrouble()) {
            record("the router stands still");
            kill(world.router, SIGSTOP);
            sleepMs(50);
            record("worker " + world.workerId() + " crashes");
            Processes::instance().kill(world.worker);
            const std::string old = world.workerId();
            sleepMs(crashMs);
            world.startWorker();
            sleepMs(freezeMs - crashMs - 50);
            record("the router wakes");
            kill(world.router, SIGCONT);
            sleepMs(400);
            world.store.remove("servers", old);
        }
        plain.join();
        stream.join();
        broken += (isPlainBroken ? 1 : 0) + (isStreamBroken ? 1 : 0);
        served += (plainAnswer.isWhole && plainAnswer.status() == 200 ? 1 : 0) + (streamAnswer.isWhole && streamAnswer.status() == 200 ? 1 : 0);
        sleepMs(700);
    }
    record("answers that looked whole and were not: " + std::to_string(broken));
    std::printf("%d of %d answers looked whole and were not\n", broken, 2 * rounds);
    if (broken == 0 && !hasTrouble() && served < 2 * rounds) {
        cannotRun("requests failed without the disruption");
    }
    finish(broken > 0 ? 1 : 0);
}
