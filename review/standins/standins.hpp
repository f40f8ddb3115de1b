// Stand-ins for the users' platform, for scripts in review/: the platform's store, workers, clients and process control. Plain POSIX sockets, one thread a
// connection. They do what PROTOCOL.md and DEPLOY.md say and, where a page is silent, what a sound server, client or platform does.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point startTime()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startTime()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Appends to record.txt; each line begins with the milliseconds since the start of the script's program.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string &path)
    {
        m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
    }

    void write(const std::string &text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs()) / 1000.0);
        const std::string line = time + text + "\n";
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_file >= 0) {
            (void)!::write(m_file, line.data(), line.size());
        }
    }

private:
    std::mutex m_mutex;
    int m_file = -1;
};

inline void record(const std::string &text)
{
    Record::instance().write(text);
}

// A script that cannot run ends with 2.
[[noreturn]] inline void cannotRun(const std::string &why);

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int backlog = 512)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// Returns a port that is free now on all loopback addresses used here; the kernel gives it out.
inline int freePort(const std::string &ip)
{
    const int fd = listenOn(ip, 0);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

inline int connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// A message as it was read from a channel.
struct Message
{
    std::string first; // Request or status line.
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;
    bool hasHead = false;
    bool isWhole = false; // Complete by its own framing.
    std::string end; // How the channel ended, if it did: "closed", "reset", "timeout".

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? "" : found->second;
    }

    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }

    std::string target() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }

    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

// Reads messages from one channel.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    // Reads one message; bytesPerSecond limits how fast its body is read (0: no limit). Returns what came.
    Message read(std::int64_t timeoutMs, bool isAnswer, std::int64_t bytesPerSecond = 0)
    {
        Message message;
        const std::int64_t deadline = nowMs() + timeoutMs;
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(message, deadline)) {
                return message;
            }
        }
        parseHead(message, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        message.hasHead = true;
        if (lower(message.field("Transfer-Encoding")) == "chunked") {
            readChunks(message, deadline);
        } else if (!message.field("Content-Length").empty()) {
            readLength(message, deadline, bytesPerSecond);
        } else if (isAnswer && message.status() != 204 && message.status() != 304) {
            while (more(message, deadline)) {
            }
            message.body.swap(m_buffer);
            m_buffer.clear();
            message.isWhole = message.end == "closed";
        } else {
            message.isWhole = true;
        }
        return message;
    }

    std::size_t surplus() const
    {
        return m_buffer.size();
    }

private:
    bool more(Message &message, std::int64_t deadline, std::size_t most = 65536)
    {
        pollfd entry{m_fd, POLLIN, 0};
        const std::int64_t left = std::max<std::int64_t>(0, deadline - nowMs());
        if (poll(&entry, 1, static_cast<int>(left)) <= 0) {
            message.end = "timeout";
            return false;
        }
        std::vector<char> bytes(most);
        const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            message.end = count == 0 ? "closed" : "reset";
            return false;
        }
        m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    }

    static void parseHead(Message &message, const std::string &head)
    {
        std::istringstream lines(head);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t begin = line.find_first_not_of(' ', colon + 1);
                message.fields[lower(line.substr(0, colon))] = begin == std::string::npos ? "" : line.substr(begin);
            }
        }
    }

    void readLength(Message &message, std::int64_t deadline, std::int64_t bytesPerSecond)
    {
        const auto length = static_cast<std::size_t>(std::strtoull(message.field("Content-Length").c_str(), nullptr, 10));
        while (m_buffer.size() < length) {
            if (bytesPerSecond > 0) {
                sleepMs(20);
            }
            const std::size_t most = bytesPerSecond > 0 ? static_cast<std::size_t>(std::max<std::int64_t>(1, bytesPerSecond / 50)) : 65536;
            if (!more(message, deadline, most)) {
                message.body.swap(m_buffer);
                m_buffer.clear();
                return;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        message.isWhole = true;
    }

    void readChunks(Message &message, std::int64_t deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(message, deadline)) {
                    return;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more(message, deadline)) {
                    if (size > 0 && m_buffer.size() > end + 2) {
                        message.body.append(m_buffer, end + 2, size);
                    }
                    return;
                }
            }
            message.body.append(m_buffer, end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                message.isWhole = true;
                return;
            }
        }
    }

    int m_fd;
    std::string m_buffer;
};

// Accepts channels on IP:PORT and serves each in a thread of its own, which ends with its channel.
class Listener
{
public:
    using Serve = std::function<void(int fd)>;

    Listener(const std::string &ip, int port, Serve serve)
        : m_serve(std::move(serve))
        , m_fd(listenOn(ip, port))
    {
        if (m_fd < 0) {
            cannotRun("cannot listen on " + ip + ":" + std::to_string(port));
        }
        std::thread([this] { acceptAll(); }).detach();
    }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                m_serve(fd);
                close(fd);
            }).detach();
        }
    }

    Serve m_serve;
    int m_fd;
};

inline std::string answerText(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            word = word << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : digits[word >> (18 - 6 * k) & 63];
        }
    }
    return text;
}

// The platform's store: linearizable rows, a feed of changes and transactions, as PROTOCOL.md has them.
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_listener(ip, port, [this](int fd) { serve(fd); })
    {
    }

    void put(const std::string &table, const std::string &key, const json &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[table][key] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[table][key] = {"", ++m_version, true};
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string value; // As on the wire.
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    static std::string argument(const std::string &target, const std::string &name)
    {
        for (const std::string &mark : {"?" + name + "=", "&" + name + "="}) {
            const std::size_t at = target.find(mark);
            if (at != std::string::npos) {
                const std::size_t begin = at + mark.size();
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return "";
    }

    json rowOf(const std::string &table, const std::string &key, const Row &row) const
    {
        json object{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.isDeleted) {
            object["deleted"] = true;
        } else {
            object["value"] = row.value;
        }
        return object;
    }

    json pageOf(const json &rows) const
    {
        return {{"rows", rows}, {"morePages", false}, {"ver", m_version}, {"nowMs", nowMs() + 1000}};
    }

    json get(const std::string &target)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string table = argument(target, "table");
        const std::string from = argument(target, "from");
        const std::string to = argument(target, "to");
        json rows = json::array();
        for (const auto &[key, row] : m_rows[table]) {
            if (!row.isDeleted && row.version > 0 && key >= from && (to.empty() || key < to)) {
                rows.push_back(rowOf(table, key, row));
            }
        }
        return pageOf(rows);
    }

    json feed(const std::string &target)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string table = argument(target, "table");
        const std::uint64_t after = std::strtoull(argument(target, "after").c_str(), nullptr, 10);
        const auto deadline = Clock::now() + std::chrono::milliseconds(std::min(30000, std::atoi(argument(target, "waitMs").c_str())));
        while (true) {
            std::vector<std::pair<std::uint64_t, json>> changed;
            for (const auto &[key, row] : m_rows[table]) {
                if (row.version > after) {
                    changed.emplace_back(row.version, rowOf(table, key, row));
                }
            }
            if (!changed.empty() || Clock::now() >= deadline) {
                std::sort(changed.begin(), changed.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
                json rows = json::array();
                for (const auto &change : changed) {
                    rows.push_back(change.second);
                }
                return pageOf(rows);
            }
            m_changed.wait_until(lock, deadline);
        }
    }

    std::pair<int, json> transact(const std::string &body)
    {
        const json wanted = json::parse(body);
        const std::lock_guard<std::mutex> lock(m_mutex);
        json different = json::array();
        for (const json &expected : wanted.value("expectedRev", json::array())) {
            const std::string table = expected.at("table");
            const std::string key = expected.at("key");
            const Row row = m_rows[table][key];
            if ((row.isDeleted ? 0 : row.version) != expected.at("ver").get<std::uint64_t>()) {
                if (row.version > 0 && !row.isDeleted) {
                    different.push_back(rowOf(table, key, row));
                }
                return {412, pageOf(different)};
            }
        }
        ++m_version;
        for (const json &entry : wanted.value("put", json::array())) {
            m_rows[entry.at("table")][entry.at("key")] = {entry.at("value"), m_version, false};
        }
        for (const json &entry : wanted.value("remove", json::array())) {
            m_rows[entry.at("table")][entry.at("key")] = {"", m_version, true};
        }
        m_changed.notify_all();
        return {200, {{"ver", m_version}, {"nowMs", nowMs() + 1000}}};
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (true) {
            const Message request = reader.read(120'000, false);
            if (!request.isWhole) {
                return;
            }
            const std::string target = request.target();
            std::pair<int, json> answer{404, json::object()};
            if (target.starts_with("/rows-get")) {
                answer = {200, get(target)};
            } else if (target.starts_with("/rows-feed")) {
                answer = {200, feed(target)};
            } else if (target == "/rows-tx") {
                answer = transact(request.body);
            }
            const std::string status = std::to_string(answer.first) + (answer.first == 200 ? " OK" : " Refused");
            if (!sendAll(fd, answerText(status, "Content-Type: application/json\r\n", answer.second.dump()))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_rows;
    std::uint64_t m_version = 0;
    Listener m_listener;
};

// Processes that the script started; all of them are killed when it ends, whatever the reason.
class Processes
{
public:
    static Processes &instance()
    {
        static Processes processes;
        return processes;
    }

    // maximumDescriptors: the limit of the machine that the process keeps to; 0 for none.
    pid_t start(const std::vector<std::string> &command, const std::string &output, unsigned maximumDescriptors = 0)
    {
        std::vector<char *> arguments;
        for (const std::string &word : command) {
            arguments.push_back(const_cast<char *>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const pid_t pid = fork();
        if (pid == 0) {
            // A group of its own: the kernel continues the stopped processes of a group whose starter ends. It still ends with this program.
            setpgid(0, 0);
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            if (maximumDescriptors > 0) {
                const rlimit limit{maximumDescriptors, maximumDescriptors};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running.push_back(pid);
        return pid;
    }

    // Returns the wait status if the process has ended.
    std::optional<int> ended(pid_t pid)
    {
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) != pid) {
            return std::nullopt;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::erase(m_running, pid);
        return status;
    }

    void kill(pid_t pid)
    {
        ::kill(pid, SIGKILL);
        int status = 0;
        waitpid(pid, &status, 0);
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::erase(m_running, pid);
    }

    void killAll()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const pid_t pid : m_running) {
            ::kill(pid, SIGKILL);
            int status = 0;
            waitpid(pid, &status, 0);
        }
        m_running.clear();
    }

private:
    std::mutex m_mutex;
    std::vector<pid_t> m_running;
};

inline std::string &folder()
{
    static std::string path;
    return path;
}

// Ends the script with its status, after all of its processes have ended and its temporary folder is gone.
[[noreturn]] inline void finish(int status)
{
    Processes::instance().killAll();
    if (std::getenv("KEEP_LOGS") == nullptr && !folder().empty()) {
        for (const char *name : {"front-1", "front-2", "side-1", "side-2", "worker-1", "worker-2"}) {
            unlink((folder() + "/" + name + ".yaml").c_str());
            unlink((folder() + "/" + name + ".log").c_str());
        }
        rmdir(folder().c_str());
    }
    std::fflush(stdout);
    _exit(status);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    record("cannot run: " + why);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    finish(2);
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

// Loopback addresses of this run, which differ between scripts that run at the same time.
inline std::string hostAddress(int number)
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(2 + pid / 240 % 240) + "." + std::to_string(2 + pid % 240) + "." + std::to_string(number);
}

constexpr int callersPort = 8606;
constexpr int readyPort = 8607;
constexpr int peerPort = 7680;
constexpr int storePort = 8608;
constexpr int workerPort = 8600;

// Prepares record and temporary folder; call it first.
inline void prepare(const std::string &recordPath)
{
    (void)startTime();
    signal(SIGPIPE, SIG_IGN);
    Record::instance().open(recordPath);
    char pattern[] = "/tmp/review-XXXXXX";
    const char *made = mkdtemp(pattern);
    if (made == nullptr) {
        cannotRun("no temporary folder");
    }
    folder() = made;
    if (access("target/bin/verbena-router", X_OK) != 0 || access("target/bin/verbena-agent", X_OK) != 0) {
        cannotRun("the build of the deploy file is missing");
    }
}

struct HostOptions
{
    std::string name;
    std::string ip;
    bool isFront = true;
    int memoryMb = 110;
    unsigned maxFds = 4200;
    unsigned descriptors = 0; // Limit that the process keeps to; 0: maxFds.
    std::string engine; // IP:PORT of the worker beside a side machine.
};

// Writes the settings file of a machine as DEPLOY.md has it and returns its path.
inline std::string hostFile(const HostOptions &options)
{
    std::ostringstream text;
    text << "nodeName: \"" << options.name << "\"\nrole: \"" << (options.isFront ? "router" : "agent") << "\"\nmachineClass: \""
         << (options.isFront ? "front" : "side") << "\"\nserves:\n  - \"" << (options.isFront ? "front" : "side") << "\"\nip: \"" << options.ip
         << "\"\nzone: \"hall\"\nregion: \"region\"\nzones:\n  hall: \"region\"\n";
    if (options.isFront) {
        text << "listen:\n  front: \"" << options.ip << ":" << callersPort << "\"\n  ready: \"" << options.ip << ":" << readyPort << "\"\n";
    } else {
        text << "listen: {}\n";
    }
    text << "portRange:\n  - " << peerPort << "\n  - " << peerPort + 15
         << "\nseeds: []\nbootstrap: true\ncountsAsLoss: false\nlimits:\n  cpuShare: 0.19\n  cpus: 1\n  memoryMb: " << options.memoryMb
         << "\n  maxFds: " << options.maxFds << "\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
         << "bounds:\n  reuseAfterS: 2\n  contactMs: 3000\n  drainMs: 2000\n  graceS: 8\n  lostMs: 200\n  configApplyMs: 2000\n  downgradeMs: 250\n"
         << "  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  retrySlack: 54\n  leaseMs: 3000\n  thawMs: 300\n  versionMs: 8000\n";
    if (!options.engine.empty()) {
        text << "app: \"" << options.engine << "\"\nservice: \"reader\"\n";
    }
    text << "provider:\n  address: \"" << hostAddress(250) << ":" << storePort << "\"\n  form: \"table\"\n  writesPerS: 400\n  readsPerS: 2000\n";
    const std::string path = folder() + "/" + options.name + ".yaml";
    std::ofstream(path) << text.str();
    return path;
}

// Starts a program of the project with the command of the deploy file.
inline pid_t startHost(const HostOptions &options)
{
    const std::string program = options.isFront ? "target/bin/verbena-router" : "target/bin/verbena-agent";
    const std::string file = hostFile(options);
    record(options.name + " is started: " + program + " --host FILE");
    return Processes::instance().start({program, "--host", file}, folder() + "/" + options.name + ".log", options.descriptors > 0 ? options.descriptors : options.maxFds);
}

struct Route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 5000;
    int attempts = 2;
    bool isResumable = false;
    bool isSticky = false;
};

inline json configuration(std::uint64_t version, const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    json object{{"version", version},
        {"routes", json::array()},
        {"services", json::array()},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "dams"}, {"apiKeys", {"key-of-dams"}}, {"dedicated", false}}}}};
    for (const Route &route : routes) {
        object["routes"].push_back({{"name", route.name},
            {"hostname", "x.example"},
            {"prefix", route.prefix},
            {"kind", route.kind},
            {"timeoutMs", route.timeoutMs},
            {"targetLatencyMs", 300},
            {"gapAimMs", 300},
            {"priority", 1},
            {"service", route.service},
            {"attempts", route.attempts},
            {"public", false},
            {"sticky", route.isSticky},
            {"resumable", route.isResumable}});
    }
    for (const std::string &service : services) {
        object["services"].push_back({{"name", service}, {"healthPath", "/health"}});
    }
    return object;
}

// The row by which a worker registers itself.
inline json serverRow(const std::string &service, const std::string &address, std::uint64_t sequence, const std::string &phase = "ready", int slots = 6)
{
    return {{"service", service},
        {"address", address},
        {"zone", "hall"},
        {"version", "v1"},
        {"slots", slots},
        {"phase", phase},
        {"coldLeftMs", 0},
        {"sequence", sequence}};
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body,
    const std::string &more = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + id + "\r\nVerbenaladder-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-of-dams\r\n" + more
        + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

// Waits until the router says that it is ready.
inline void awaitReady(const std::string &ip)
{
    const std::int64_t deadline = nowMs() + 15'000;
    while (nowMs() < deadline) {
        const int fd = connectTo(ip, readyPort);
        if (fd >= 0) {
            sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            Reader reader(fd);
            const Message answer = reader.read(1000, true);
            close(fd);
            if (answer.status() == 200) {
                return;
            }
        }
        sleepMs(100);
    }
    cannotRun("the router did not become ready");
}

// Anonymous memory of a process in bytes: its heap and stacks, without program files and shared libraries.
inline std::int64_t anonymousBytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::atoll(line.c_str() + 8) * 1024;
        }
    }
    return 0;
}

} // namespace review
