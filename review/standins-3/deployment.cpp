#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <utility>

namespace Review {

namespace {

const Clock::time_point Begin = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;
std::vector<pid_t> started;
std::string temporaryFolder;

sockaddr_in nativeAddress(const std::string &address)
{
    const auto colon = address.find(':');
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &native.sin_addr);
    return native;
}

/** Returns a listening socket, or -1. */
int listenAt(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in native = nativeAddress(address);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0
        && listen(socket, 128) == 0)
        return socket;
    close(socket);
    return -1;
}

int freePort(const std::string &host)
{
    const int socket = listenAt(host + ":0");
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    close(socket);
    return ntohs(bound.sin_port);
}

void resetAndClose(int socket)
{
    const linger option{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(socket);
}

bool writeAll(int socket, const std::string &text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const ssize_t written = send(socket, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        at += static_cast<std::size_t>(written);
    }
    return true;
}

/** Reads one message from the socket; \a buffer keeps what follows it. */
bool readMessage(int socket, std::string &buffer, std::string &head, std::string &body,
                 Clock::time_point until)
{
    std::optional<std::size_t> wanted;
    while (true) {
        const auto split = buffer.find("\r\n\r\n");
        if (split != std::string::npos && !wanted) {
            head = buffer.substr(0, split);
            std::string lower = head;
            std::transform(lower.begin(), lower.end(), lower.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            const auto field = lower.find("content-length:");
            wanted = split + 4;
            if (field != std::string::npos)
                *wanted += static_cast<std::size_t>(std::atoll(lower.c_str() + field + 15));
        }
        if (wanted && buffer.size() >= *wanted) {
            body = buffer.substr(split + 4, *wanted - split - 4);
            buffer.erase(0, *wanted);
            return true;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (left <= 0)
            return false;
        pollfd polled{socket, POLLIN, 0};
        if (poll(&polled, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t read = recv(socket, bytes, sizeof bytes, 0);
        if (read <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(read));
    }
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Begin).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    if (!recordFile.is_open()) {
        const char *path = std::getenv("RECORD");
        recordFile.open(path == nullptr ? "record.txt" : path);
    }
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(nowMs()) / 1000);
    recordFile << time << line << std::endl;
}

void leave(int code, const std::string &why)
{
    record("result " + std::to_string(code) + ": " + why);
    std::printf("%d: %s\n", code, why.c_str());
    std::fflush(stdout);
    for (const pid_t pid : started) {
        ::kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    if (!temporaryFolder.empty() && std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(temporaryFolder);
    _exit(code);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

bool waitFor(const std::function<bool()> &condition, std::int64_t limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() >= until)
            return false;
        sleepMs(10);
    }
    return true;
}

Connection::Connection(const std::string &address)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in native = nativeAddress(address);
    if (connect(socket_, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        close(socket_);
        socket_ = -1;
    }
}

Connection::~Connection()
{
    if (socket_ >= 0)
        close(socket_);
}

Reply Connection::call(const std::string &method, const std::string &path, const std::string &host,
                       const std::string &body, int limitMs)
{
    Reply reply;
    if (socket_ < 0)
        return reply;
    const auto until = Clock::now() + std::chrono::milliseconds(limitMs);
    const timeval limit{limitMs / 1000, (limitMs % 1000) * 1000};
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + host
                       + "\r\nOleanderusher-Deadline-Ms: " + std::to_string(limitMs) + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n";
    text += "\r\n" + body;
    std::string head;
    if (writeAll(socket_, text) && readMessage(socket_, buffer_, head, reply.body, until)) {
        reply.status = std::atoi(head.c_str() + std::min<std::size_t>(9, head.size()));
    } else {
        close(socket_);
        socket_ = -1;
    }
    return reply;
}

Reply httpCall(const std::string &address, const std::string &method, const std::string &path,
               const std::string &host, const std::string &body, int limitMs)
{
    return Connection(address).call(method, path, host, body, limitMs);
}

Minion::Minion(std::string minionName, std::string minionAddress, std::string agentAddress,
               int milliCores, int heartbeatMs)
    : name(std::move(minionName))
    , address(std::move(minionAddress))
    , agent(std::move(agentAddress))
    , milliCores_(milliCores)
    , heartbeatMs_(heartbeatMs)
{
    std::thread([this] {
        while (true) {
            tick();
            sleepMs(5);
        }
    }).detach();
    std::thread([this] {
        std::uint64_t life = 0;
        std::int64_t next = 0;
        while (true) {
            if (life != life_) {
                life = life_;
                next = nowMs();
            }
            if (up_ && nowMs() >= next) {
                next = nowMs() + heartbeatMs_;
                beat();
            }
            sleepMs(10);
        }
    }).detach();
}

void Minion::start()
{
    const std::lock_guard lock(mutex_);
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    born_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    ++life_;
    id_ = name + "-" + std::to_string(life_);
    startedAtMs_ = nowMs();
    fence_ = 0;
    deadline_ = 0;
    lastEnd_ = 0;
    sequence = 0;
    drains = false;
    drainAckedMs = -1;
    highest_.clear();
    finished_.clear();
    listener_ = listenAt(address);
    if (listener_ < 0)
        leave(2, "the stand-in cannot listen at " + address);
    up_ = true;
    record(id_ + " starts");
    std::thread([this, listener = listener_, life = life_.load()] {
        serve(listener, life);
    }).detach();
}

void Minion::crash()
{
    const std::lock_guard lock(mutex_);
    up_ = false;
    record(id_ + " crashes");
    for (Live &live : running_)
        end(live, "died", false);
    running_.clear();
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    listener_ = -1;
    for (const int connection : connections_)
        shutdown(connection, SHUT_RDWR);
}

std::string Minion::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

std::vector<TaskRun> Minion::history() const
{
    const std::lock_guard lock(mutex_);
    return history_;
}

bool Minion::runs(const std::string &job) const
{
    const std::lock_guard lock(mutex_);
    return std::any_of(running_.begin(), running_.end(),
                       [&](const Live &live) { return live.run.task.rfind(job + ".", 0) == 0; });
}

std::vector<std::string> Minion::runningTasks() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> tasks;
    for (const Live &live : running_)
        tasks.push_back(live.run.task);
    return tasks;
}

std::uint64_t Minion::clockMs() const
{
    return static_cast<std::uint64_t>(nowMs() - startedAtMs_) + 1;
}

void Minion::end(Live &live, const std::string &how, bool isListed)
{
    history_[live.at].endMs = nowMs();
    history_[live.at].how = how;
    record(id_ + " ends " + live.run.task + " run " + std::to_string(live.run.run) + ": " + how);
    highest_[live.run.task] = std::max(highest_[live.run.task], live.run.run);
    if (isListed)
        finished_.emplace_back(++lastEnd_, live.at);
}

void Minion::tick()
{
    const std::lock_guard lock(mutex_);
    if (!up_)
        return;
    const bool isLapsed = deadline_ > 0 && clockMs() > deadline_;
    for (auto it = running_.begin(); it != running_.end();) {
        if (!isLapsed && (it->endsMs == 0 || nowMs() < it->endsMs)) {
            ++it;
            continue;
        }
        end(*it, isLapsed ? "lapsed" : "done", true);
        it = running_.erase(it);
    }
}

Json Minion::heartbeat() const
{
    const std::lock_guard lock(mutex_);
    return {{"service", "notices"},
            {"address", address},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", drains ? "draining" : "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", milliCores_}, {"memMb", 32'000}, {"gpu", 0}}},
            {"labels", Json::array({"a", "r1"})},
            {"clockMs", clockMs()},
            {"born", born_},
            {"sequence", sequence.load()}};
}

void Minion::beat()
{
    const bool draining = drains;
    ++sequence;
    const std::string body = heartbeat().dump();
    const Reply reply =
        httpCall(agent, "PUT", "/oleanderusher/instances/" + id(), agent, body, 1'000);
    if (draining && drainAckedMs < 0) {
        record(id() + " says that it drains: " + std::to_string(reply.status));
        if (reply.status / 100 == 2)
            drainAckedMs = nowMs();
    }
}

void Minion::serve(int listener, std::uint64_t life)
{
    fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
    bool resets = false;
    while (life == life_ && up_) {
        if (resets != resetsConnections) {
            resets = resetsConnections;
            // Accepted connections inherit the option, so that closing one resets it.
            const linger option{resets ? 1 : 0, 0};
            setsockopt(listener, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        }
        if (!resets) {
            pollfd polled{listener, POLLIN, 0};
            poll(&polled, 1, 10);
        }
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        if (resets) {
            close(connection);
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            connections_.insert(connection);
        }
        std::thread([this, connection, life] { handle(connection, life); }).detach();
    }
}

void Minion::handle(int connection, std::uint64_t life)
{
    std::string buffer;
    std::string head;
    std::string body;
    while (life == life_ && up_
           && readMessage(connection, buffer, head, body, Clock::now() + std::chrono::minutes(5))) {
        if (life != life_ || !up_)
            break;
        if (resetsConnections) {
            const std::lock_guard lock(mutex_);
            connections_.erase(connection);
            return resetAndClose(connection);
        }
        const auto from = head.find(' ') + 1;
        const std::string path = head.substr(from, head.find(' ', from) - from);
        const Json value = Json::parse(body, nullptr, false);
        std::string expected;
        if (const auto field = head.find("Oleanderusher-Expected-Instance: ");
            field != std::string::npos) {
            expected = head.substr(field + 33);
            expected = expected.substr(0, expected.find('\r'));
        }
        int status = 400;
        std::string text = Json{{"clockMs", clockMs()}}.dump();
        if (!expected.empty() && expected != id()) {
            status = 421;
        } else if (value.is_object()) {
            text = answer(path, value, status);
        }
        const std::string reply = "HTTP/1.1 " + std::to_string(status)
                                  + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                  + std::to_string(text.size()) + "\r\n\r\n" + text;
        if (!writeAll(connection, reply))
            break;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
    close(connection);
}

Json Minion::lists() const
{
    Json running = Json::array();
    for (const Live &live : running_)
        running.push_back({live.run.task, live.run.run, "", 50, 0});
    Json finished = Json::array();
    for (const auto &[number, at] : finished_) {
        if (finished.size() < 500)
            finished.push_back({number, history_[at].task, history_[at].run, history_[at].how, ""});
    }
    return {{"clockMs", clockMs()},
            {"born", born_},
            {"running", std::move(running)},
            {"finished", std::move(finished)}};
}

std::string Minion::answer(const std::string &path, const Json &body, int &status)
{
    std::unique_lock lock(mutex_);
    const auto refuse = [&](const char *reason) {
        status = 409;
        return Json{{"clockMs", clockMs()}, {"reason", reason}}.dump();
    };
    const std::uint64_t fence = body.value("fence", std::uint64_t(0));
    if (fence < fence_)
        return refuse("fence");
    fence_ = fence;
    status = 200;
    deadline_ = std::max(deadline_, body.value("deadlineMs", std::uint64_t(0)));
    if (path == "/oleanderusher/hold") {
        const std::uint64_t cursor = body.value("ackCursor", std::uint64_t(0));
        for (const auto &[number, at] : finished_) {
            if (number <= cursor)
                history_[at].isAcknowledged = true;
        }
        std::erase_if(finished_, [&](const auto &item) { return item.first <= cursor; });
        const std::int64_t until = nowMs() + std::min(2'000, body.value("waitMs", 0));
        const std::uint64_t life = life_;
        while (finished_.empty() && nowMs() < until && up_ && life == life_) {
            lock.unlock();
            sleepMs(5);
            lock.lock();
        }
        return lists().dump();
    }
    if (path == "/oleanderusher/pace")
        return Json{{"clockMs", clockMs()}}.dump();
    TaskRun run;
    run.task = body.value("task", "");
    run.run = body.value("run", std::uint64_t(0));
    const auto present = std::find_if(running_.begin(), running_.end(), [&](const Live &live) {
        return live.run.task == run.task && live.run.run == run.run;
    });
    if (path == "/oleanderusher/run-stop") {
        highest_[run.task] = std::max(highest_[run.task], run.run);
        if (present != running_.end()) {
            end(*present, "stopped", true);
            running_.erase(present);
        }
        return Json{{"clockMs", clockMs()}}.dump();
    }
    if (present != running_.end())
        return Json{{"clockMs", clockMs()}}.dump();
    if (highest_.contains(run.task) && run.run <= highest_[run.task])
        return refuse("old");
    if (body.value("deadlineMs", std::uint64_t(0)) < clockMs())
        return refuse("late");
    run.minion = id_;
    run.startMs = nowMs();
    record(id_ + " starts " + run.task + " run " + std::to_string(run.run));
    Live live;
    live.run = run;
    live.at = history_.size();
    const std::string job = run.task.substr(0, run.task.find('.'));
    if (!longRunning.contains(job))
        live.endsMs = nowMs() + workMs;
    history_.push_back(run);
    running_.push_back(live);
    return Json{{"clockMs", clockMs()}}.dump();
}

std::string Deployment::nextHost()
{
    // A block of hosts for each process of a script, so that scripts may run side by side.
    return "127." + std::to_string(64 + getpid() % 128) + '.' + std::to_string(getpid() / 128 % 256)
           + '.' + std::to_string(++lastHost_);
}

Deployment::Deployment(std::size_t minionCount, int milliCores, int heartbeatMs)
{
    folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        leave(2, "no temporary folder could be made");
    temporaryFolder = folder;
    std::string seeds;
    std::string linkPort;
    const auto at = [](const std::string &host) {
        return host + ':' + std::to_string(freePort(host));
    };
    std::vector<std::string> controlLines;
    for (int i = 0; i < 3; ++i) {
        const std::string host = nextHost();
        if (linkPort.empty())
            linkPort = std::to_string(freePort(host));
        operatorAddresses.push_back(at(host));
        seeds += (i > 0 ? "," : "") + operatorAddresses.back();
        const std::string data = folder + "/data-" + std::to_string(i);
        std::filesystem::create_directories(data);
        controlLines.push_back("[control-host]\nlink = " + host + ':' + linkPort
                               + "\noperator-door = " + operatorAddresses.back()
                               + "\ndata-folder = " + data
                               + "\nmay-form = true\ntolerated-losses = 1\nlongest-lease = 10000ms"
                                 "\nmetrics-door = "
                               + at(host) + '\n');
    }
    groupLines_ = "[group]\nseeds = " + seeds + "\nlink-port = " + linkPort + '\n';
    const auto add = [&](std::vector<Process> &to, const std::string &processName,
                         std::vector<std::string> words, const std::string &lines) {
        Process process;
        process.name = processName;
        process.words = std::move(words);
        process.settings = folder + '/' + processName + ".ini";
        std::ofstream(process.settings) << lines << groupLines_;
        to.push_back(std::move(process));
    };
    for (std::size_t i = 0; i < controlLines.size(); ++i)
        add(controls, "control-" + std::to_string(i), {"target/oleander", "control"},
            controlLines[i]);
    for (int i = 0; i < 2; ++i) {
        const std::string host = nextHost();
        entryAddresses.push_back(at(host));
        const std::string entryName = "entry-" + std::to_string(i);
        add(entries, entryName, {"target/oleander", "entry"},
            "[job-entry]\nname = " + entryName + "\ncaller-door = " + entryAddresses.back()
                + "\nhealth-door = " + at(host) + "\nmetrics-door = " + at(host) + '\n');
    }
    for (std::size_t i = 0; i < minionCount; ++i) {
        const std::string host = nextHost();
        const std::string agentAddress = at(host);
        const std::string minionAddress = at(host);
        const std::string agentName = "agent-" + std::to_string(i);
        add(agents, agentName, {"target/oleander-agent", "machine"},
            "[machine-agent]\nname = " + agentName + "\nminion-door = " + agentAddress
                + "\nminion = " + minionAddress + "\ncancel-time = 3000ms"
                + "\nmetrics-door = " + at(host) + '\n');
        minions.push_back(std::make_unique<Minion>("i-" + std::to_string(i), minionAddress,
                                                   agentAddress, milliCores, heartbeatMs));
    }
}

void Deployment::spawn(Process &process)
{
    const std::string log = folder + '/' + process.name + ".log";
    record("start " + process.name);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("OLEANDERUSHER_SETTINGS", process.settings.c_str(), 1);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        std::vector<char *> words;
        for (std::string &word : process.words)
            words.push_back(word.data());
        words.push_back(nullptr);
        execv(words[0], words.data());
        _exit(127);
    }
    process.pid = pid;
    started.push_back(pid);
}

void Deployment::signal(Process &process, int number)
{
    record("signal " + std::to_string(number) + " to " + process.name);
    ::kill(process.pid, number);
}

void Deployment::kill(Process &process)
{
    signal(process, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    std::erase(started, process.pid);
}

void Deployment::start(int maxAttempts)
{
    if (access("target/oleander", X_OK) != 0 || access("target/oleander-agent", X_OK) != 0)
        leave(2, "the programs are not built");
    for (Process &process : controls)
        spawn(process);
    for (Process &process : entries)
        spawn(process);
    for (Process &process : agents)
        spawn(process);
    for (const auto &minion : minions)
        minion->start();
    const Json configuration = {{"version", 1},
                                {"routes",
                                 {{{"name", "r"},
                                   {"host", "notices.example"},
                                   {"pathPrefix", "/notices/"},
                                   {"type", "non_idempotent"},
                                   {"timeoutMs", 3000},
                                   {"targetCompletionMs", 300},
                                   {"priority", 0},
                                   {"service", "notices"},
                                   {"maxAttempts", maxAttempts},
                                   {"stretchFactor", 1.5}}}},
                                {"services",
                                 {{{"name", "notices"},
                                   {"healthPath", "/healthz"},
                                   {"maxConnections", 64},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"enforcesCapacity", false},
                                   {"standby", false}}}},
                                {"limits",
                                 {{"maxHeaderBytes", 16384},
                                  {"maxBodyBytes", 262144},
                                  {"headerTimeoutMs", 3000},
                                  {"idleTimeoutMs", 15000}}}};
    const bool isConfigured = waitFor(
        [&] {
            return httpCall(operatorAddresses[0], "PUT", "/oleanderusher/config",
                            operatorAddresses[0], configuration.dump(), 1'000)
                       .status
                   == 200;
        },
        20'000);
    if (!isConfigured)
        leave(2, "the system acknowledged no configuration");
    record("the configuration is acknowledged");
    if (!submit("00000000000000aa", {{{"count", 1}, {"cpu", 100}, {"memMb", 64}}})
        || !waitFor([&] { return state("00000000000000aa") == "completed"; }, 20'000))
        leave(2, "a first job was not completed");
}

Reply Deployment::call(std::size_t entry, const std::string &method, const std::string &path,
                       const std::string &body, int limitMs)
{
    const Reply reply = httpCall(entryAddresses.at(entry), method, "/notices/" + path,
                                 "notices.example", body, limitMs);
    record(method + ' ' + path + (body.empty() ? "" : ' ' + body) + " at entry-"
           + std::to_string(entry) + ": " + std::to_string(reply.status) + " " + reply.body);
    return reply;
}

bool Deployment::submit(const std::string &id, const Json &steps, const std::string &spec,
                        int limitMs)
{
    const std::string body = Json{{"spec", spec}, {"steps", steps}}.dump();
    std::size_t entry = 0;
    return waitFor(
        [&] {
            const bool isAccepted =
                call(entry++ % entryAddresses.size(), "POST", id, body).status == 200;
            if (!isAccepted)
                sleepMs(200);
            return isAccepted;
        },
        limitMs);
}

std::string Deployment::state(const std::string &id, int limitMs)
{
    std::string last = "none";
    std::size_t entry = 0;
    waitFor(
        [&] {
            const std::string &address = entryAddresses[entry++ % entryAddresses.size()];
            const Reply reply =
                httpCall(address, "GET", "/notices/" + id, "notices.example", "", 3'000);
            const Json body = Json::parse(reply.body, nullptr, false);
            if (reply.status == 200 && body.is_object() && body.contains("state"))
                last = body["state"].get<std::string>();
            else
                last = std::to_string(reply.status);
            return reply.status == 200 || reply.status == 410;
        },
        limitMs);
    if (std::exchange(states_[id], last) != last)
        record("GET " + id + ": " + last);
    return last;
}

std::vector<TaskRun> Deployment::history() const
{
    std::vector<TaskRun> all;
    for (const auto &minion : minions) {
        const auto runs = minion->history();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

std::string taskName(const std::string &job, int step, int index)
{
    return job + ".0." + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<std::pair<TaskRun, TaskRun>> findDoubleRun(const std::vector<TaskRun> &history)
{
    const std::int64_t now = nowMs();
    const auto endOf = [&](const TaskRun &run) { return run.endMs < 0 ? now : run.endMs; };
    for (std::size_t i = 0; i < history.size(); ++i) {
        for (std::size_t k = i + 1; k < history.size(); ++k) {
            const TaskRun &a = history[i];
            const TaskRun &b = history[k];
            if (a.task == b.task && a.startMs < endOf(b) && b.startMs < endOf(a))
                return std::pair{a, b};
        }
    }
    return std::nullopt;
}

} // namespace Review
