// Many users come at once and send bodies within the limits of the configuration: what the router holds for them, against the memory of its machine. The
// platform kills a process that exceeds memoryMb. Usage: large_bodies RECORD
#include "standins.hpp"

using namespace review;

namespace {

constexpr int memoryMb = 110; // Front machines of the sheet.
constexpr std::size_t bodyBytes = 4'000'000; // The configuration allows 4,194,304.
constexpr int uploads = 32;
constexpr std::int64_t uploadBytesPerSecond = 2'200'000; // All of them together: 70 MB/s, of the 125 MB/s of the machine's link.
constexpr int keptClients = 12;
constexpr int workMs = 300;
constexpr int plainDeadlineMs = 1500;
constexpr int uploadDeadlineMs = 15'000;

std::atomic<bool> isOver{false};

// Attempts that a worker has begun.
std::map<std::string, std::int64_t> begun;
std::mutex begunMutex;

// A sound worker, which reads at once.
void work(int fd, const std::string &id)
{
    Reader reader(fd);
    while (true) {
        const Message request = reader.read(60'000, false);
        if (!request.isWhole) {
            return;
        }
        const std::string attempt = request.field("Verbenaladder-Attempt-Id");
        {
            const std::lock_guard<std::mutex> lock(begunMutex);
            begun[attempt] = nowMs();
        }
        sleepMs(workMs);
        const std::string fields = "Verbenaladder-Attempt-Id: " + attempt + "\r\nVerbenaladder-Server-Stamp: stamp." + id + "\r\n";
        if (!sendAll(fd, answerText("200 OK", fields, std::string(800, 'r')))) {
            return;
        }
    }
}

struct KeptClient
{
    int answered = 0;
    bool wasCut = false; // The channel ended without an answer to a request that the worker had begun.
};

// Sends one request after the other on one channel.
void useKeptChannel(const std::string &ip, int number, KeptClient &client)
{
    const int fd = connectTo(ip, callersPort);
    Reader reader(fd);
    for (int request = 0; !isOver; ++request) {
        const std::string id = "kept" + std::to_string(number) + "-" + std::to_string(request);
        sendAll(fd, requestText("POST", "/read/a/", id, plainDeadlineMs, "x"));
        const Message answer = reader.read(plainDeadlineMs + 1000, true);
        if (answer.isWhole) {
            client.answered += answer.status() == 200 ? 1 : 0;
            continue;
        }
        const std::lock_guard<std::mutex> lock(begunMutex);
        client.wasCut = client.answered > 0 && answer.end != "timeout" && begun.contains(id);
        record("client " + std::to_string(number) + ": channel " + answer.end + " without an answer to " + id
            + (client.wasCut ? ", which a worker had begun" : ""));
        break;
    }
    close(fd);
}

// Sends a body as fast as its part of the machine's link allows. Returns the status of the answer.
int upload(const std::string &ip, const std::string &id, const std::string &body)
{
    const int fd = connectTo(ip, callersPort);
    record("client sends " + id + " with a body of " + std::to_string(body.size()) + " bytes");
    const std::string text = requestText("POST", "/load/a/", id, uploadDeadlineMs, body);
    constexpr std::size_t part = uploadBytesPerSecond / 50;
    bool isSent = true;
    for (std::size_t sent = 0; sent < text.size() && isSent; sent += part) {
        isSent = sendAll(fd, text.substr(sent, part));
        sleepMs(20);
    }
    Reader reader(fd);
    const Message answer = reader.read(uploadDeadlineMs, true);
    close(fd);
    record("client gets for " + id + ": " + (answer.isWhole ? "status " + std::to_string(answer.status()) : "no answer (" + answer.end + ")"));
    return answer.status();
}

} // namespace

int main(int argc, char **argv)
{
    (void)argc;
    prepare(argv[1]);
    const std::string frontIp = hostAddress(1);
    const std::string plainIp = hostAddress(100);
    const std::string loadIp = hostAddress(101);
    Store store(hostAddress(250), storePort);
    const Listener plainWorker(plainIp, workerPort, [](int fd) { work(fd, "i-1"); });
    const Listener loadWorker(loadIp, workerPort, [](int fd) { work(fd, "i-2"); });
    store.put("op",
        "config",
        configuration(3,
            {{"plain", "/read/", "non_idempotent", "register", plainDeadlineMs, 1}, {"load", "/load/", "non_idempotent", "loader", uploadDeadlineMs, 1}},
            {"register", "loader"}));
    store.put("servers", "i-1", serverRow("register", plainIp + ":" + std::to_string(workerPort), 1, "ready", 96));
    store.put("servers", "i-2", serverRow("loader", loadIp + ":" + std::to_string(workerPort), 1, "ready", 96));
    const pid_t router = startHost({.name = "front-1", .ip = frontIp, .memoryMb = memoryMb, .engine = ""});
    awaitReady(frontIp);

    std::atomic<std::int64_t> mostBytes{0};
    std::atomic<bool> wasKilled{false};
    std::thread platform([&] {
        while (!isOver) {
            const std::int64_t bytes = anonymousBytes(router);
            mostBytes = std::max<std::int64_t>(mostBytes, bytes);
            if (bytes > std::int64_t(memoryMb) * 1'000'000) {
                record("the router holds " + std::to_string(bytes / 1'000'000) + " MB of " + std::to_string(memoryMb) + " MB: the platform kills it");
                wasKilled = true;
                Processes::instance().kill(router);
                return;
            }
            sleepMs(10);
        }
    });
    std::vector<KeptClient> clients(keptClients);
    std::vector<std::thread> threads;
    for (int number = 0; number < keptClients; ++number) {
        threads.emplace_back([&, number] { useKeptChannel(frontIp, number, clients[static_cast<std::size_t>(number)]); });
        sleepMs(25);
    }
    sleepMs(1500);
    const std::string body(bodyBytes, 'b');
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    const auto uploadOne = [&](int number) {
        const int status = upload(frontIp, "load" + std::to_string(number), body);
        served += status == 200 ? 1 : 0;
        refused += status == 503 ? 1 : 0;
    };
    std::vector<std::thread> uploading;
    // Without the disruption the same users come in groups of four, one group after the other.
    const int groupSize = hasTrouble() ? uploads : 4;
    for (int first = 0; first < uploads; first += groupSize) {
        for (int number = first; number < first + groupSize; ++number) {
            uploading.emplace_back(uploadOne, number);
        }
        for (std::thread &thread : uploading) {
            thread.join();
        }
        uploading.clear();
    }
    sleepMs(500);
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    platform.join();
    const auto cut = std::count_if(clients.begin(), clients.end(), [](const KeptClient &client) { return client.wasCut; });
    int answered = 0;
    for (const KeptClient &client : clients) {
        answered += client.answered;
    }
    record("most memory " + std::to_string(mostBytes / 1'000'000) + " MB; killed: " + (wasKilled ? "yes" : "no") + "; requests on kept channels answered "
        + std::to_string(answered) + ", kept channels closed without an answer to a request that a sound worker had begun: " + std::to_string(cut));
    std::printf("most memory %lld MB, killed: %s, kept channels cut: %d, uploads served %d, refused %d\n",
        static_cast<long long>(mostBytes / 1'000'000),
        wasKilled ? "yes" : "no",
        static_cast<int>(cut),
        served.load(),
        refused.load());
    if (!hasTrouble() && served < uploads) {
        cannotRun("uploads failed without the disruption");
    }
    // LOST at any time: more than three.
    finish(cut > 3 ? 1 : 0);
}
