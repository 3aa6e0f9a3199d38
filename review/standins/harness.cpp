#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point ProgramStart = Clock::now();

std::mutex recordMutex;
std::ofstream recordFile;
bool trouble = true;

/** Time that a minion takes to stop a run; the pages allow stopMs. */
constexpr std::int64_t StopMs = 100;
constexpr std::int64_t AcknowledgeMs = 1000;
constexpr const char *QueueHost = "press.example";
constexpr const char *QueuePrefix = "/press/";

std::string lower(std::string text)
{
    for (char &letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

/** Reads one HTTP message. Returns false at the end of the connection or at \a deadline. */
bool readMessage(int descriptor, std::string &buffer, std::string &head, std::string &body,
                 std::int64_t deadline)
{
    const auto fill = [&] {
        pollfd item{descriptor, POLLIN, 0};
        const std::int64_t rest = deadline - nowMs();
        if (rest <= 0 || ::poll(&item, 1, static_cast<int>(rest)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    head = buffer.substr(0, end + 2);
    std::size_t length = 0;
    const std::size_t field = lower(head).find("\r\ncontent-length:");
    if (field != std::string::npos)
        length = std::stoul(head.substr(field + 17));
    while (buffer.size() < end + 4 + length) {
        if (!fill())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

sockaddr_in native(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

bool isFree(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in to = native(address);
    const bool free = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    ::close(descriptor);
    return free;
}

std::string dump(const Json &json)
{
    return json.dump();
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - ProgramStart)
        .count();
}

std::uint64_t wallMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

bool waitFor(std::int64_t timeout, const std::function<bool()> &condition)
{
    const std::int64_t deadline = nowMs() + timeout;
    while (!condition()) {
        if (nowMs() > deadline)
            return false;
        sleepMs(10);
    }
    return true;
}

void startCase(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " FOLDER TROUBLE" << std::endl;
        std::exit(CannotRun);
    }
    trouble = std::string(argv[2]) != "0";
    recordFile.open(std::string(argv[1]) + "/record.txt", std::ios::trunc);
    record(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

bool hasTrouble()
{
    return trouble;
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    const std::int64_t now = nowMs();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(now) / 1000.0);
    recordFile << time << line << std::endl;
    std::cout << time << line << std::endl;
}

Reply httpCall(const Address &to, const Request &request, std::int64_t timeout)
{
    const std::int64_t deadline = nowMs() + timeout;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in target = native(to);
    Reply reply;
    pollfd item{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool connecting =
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0
        || errno == EINPROGRESS;
    if (connecting && ::poll(&item, 1, static_cast<int>(timeout)) > 0
        && getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0) {
        fcntl(descriptor, F_SETFL, 0);
        std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
        if (!request.headers.contains("Host"))
            text += "Host: " + to.text() + "\r\n";
        for (const auto &[name, value] : request.headers)
            text += name + ": " + value + "\r\n";
        if (!request.body.empty()) {
            text += "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(request.body.size()) + "\r\n";
        }
        text += "\r\n" + request.body;
        std::string buffer;
        std::string head;
        if (sendAll(descriptor, text) && readMessage(descriptor, buffer, head, reply.body, deadline)
            && head.size() > 12)
            reply.status = std::atoi(head.c_str() + 9);
    }
    ::close(descriptor);
    return reply;
}

HttpServer::HttpServer(Address address, Handler handler) : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = native(address);
    if (::bind(listener_, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(listener_, 128) != 0) {
        record("a stand-in cannot listen on " + address.text());
        ::_exit(CannotRun);
    }
    acceptor_ = std::thread([this] { acceptLoop(); });
}

HttpServer::~HttpServer()
{
    stopping_ = true;
    const auto closeConnections = [this] {
        const std::lock_guard lock(mutex_);
        for (const int descriptor : open_)
            ::shutdown(descriptor, SHUT_RDWR);
    };
    ::shutdown(listener_, SHUT_RDWR);
    closeConnections();
    acceptor_.join();
    ::close(listener_);
    closeConnections();
    for (std::thread &worker : workers_)
        worker.join();
}

void HttpServer::acceptLoop()
{
    while (!stopping_) {
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0)
            continue;
        const std::lock_guard lock(mutex_);
        open_.insert(descriptor);
        workers_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void HttpServer::serve(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    constexpr std::int64_t ConnectionLifetime = 120'000;
    std::string buffer;
    std::string head;
    Request request;
    while (!stopping_
           && readMessage(descriptor, buffer, head, request.body, nowMs() + ConnectionLifetime)) {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::istringstream(line) >> request.method >> request.path;
        request.headers.clear();
        while (std::getline(lines, line)) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r") + 1);
            request.headers[lower(line.substr(0, colon))] = value;
        }
        const auto reply = handler_(request);
        if (!reply)
            continue;
        const std::string text = "HTTP/1.1 " + std::to_string(reply->status)
                                 + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
        if (stopping_ || !sendAll(descriptor, text))
            break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(descriptor);
    ::close(descriptor);
}

Process::Process(std::string name, const std::vector<std::string> &command,
                 const std::string &settingsPath, const std::string &logPath)
    : name_(std::move(name))
{
    std::vector<char *> arguments;
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    const int parent = ::getpid();
    id_ = ::fork();
    if (id_ != 0)
        return;
    // The child ends with the test program, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(CannotRun);
    const int log = ::open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0640);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        ::close(descriptor);
    ::setenv("OLEANDERUSHER_SETTINGS", settingsPath.c_str(), 1);
    ::execv(arguments[0], arguments.data());
    ::_exit(CannotRun);
}

Process::~Process()
{
    if (id_ <= 0)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
}

void Process::signal(int number) const
{
    record(name_ + ": signal " + strsignal(number));
    ::kill(id_, number);
}

bool Process::isRunning()
{
    return id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == 0;
}

std::size_t History::begin(const std::string &minion, const std::string &task, std::uint64_t run,
                           bool late)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back({minion, task, run, nowMs(), 0, {}, late});
    return runs_.size() - 1;
}

void History::end(std::size_t index, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    runs_[index].endedAt = nowMs();
    runs_[index].how = how;
}

std::vector<RunRecord> History::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<std::string> History::overlaps() const
{
    const auto runs = all();
    const std::int64_t now = nowMs();
    const auto endOf = [&](const RunRecord &run) { return run.endedAt == 0 ? now : run.endedAt; };
    std::vector<std::string> found;
    for (std::size_t a = 0; a < runs.size(); ++a) {
        for (std::size_t b = a + 1; b < runs.size(); ++b) {
            const std::int64_t from = std::max(runs[a].startedAt, runs[b].startedAt);
            const std::int64_t to = std::min(endOf(runs[a]), endOf(runs[b]));
            if (runs[a].task != runs[b].task || to <= from)
                continue;
            found.push_back(runs[a].task + ": run " + std::to_string(runs[a].run) + " on "
                            + runs[a].minion + " and run " + std::to_string(runs[b].run) + " on "
                            + runs[b].minion + " were at work together for "
                            + std::to_string(to - from) + " ms");
        }
    }
    return found;
}

Minion::Minion(Options options, History &history) : options_(std::move(options)), history_(history)
{
    up();
    heartbeats_ = std::thread([this] { heartbeatLoop(); });
    runner_ = std::thread([this] { runLoop(); });
}

Minion::~Minion()
{
    stopping_ = true;
    down("the test ends");
    heartbeats_.join();
    runner_.join();
}

void Minion::up()
{
    {
        const std::lock_guard lock(mutex_);
        born_ = std::max(wallMs(), born_ + 1);
        bornAt_ = nowMs();
        sequence_ = fence_ = leaseUntil_ = lastEnd_ = 0;
        draining_ = false;
        running_.clear();
        finished_.clear();
        highestRun_.clear();
        lateOrders_.clear();
        up_ = true;
    }
    record("minion " + options_.id + " begins a life at " + options_.address.text());
    server_ = std::make_unique<HttpServer>(
        options_.address, [this](const Request &request) { return handle(request); });
    changed_.notify_all();
}

void Minion::down(const char *why)
{
    {
        const std::lock_guard lock(mutex_);
        if (!up_)
            return;
        up_ = false;
        for (const auto &[task, run] : running_)
            history_.end(run.index, "gone");
        running_.clear();
    }
    record("minion " + options_.id + " ends: " + why);
    changed_.notify_all();
    server_.reset();
}

void Minion::restart(const std::string &id)
{
    options_.id = id;
    up();
}

bool Minion::runs(const std::string &task) const
{
    const std::lock_guard lock(mutex_);
    return running_.contains(task);
}

bool Minion::hasRuns() const
{
    const std::lock_guard lock(mutex_);
    return !running_.empty();
}

void Minion::leaveOrdersUnanswered(double share, std::int64_t until, unsigned seed)
{
    const std::lock_guard lock(mutex_);
    unansweredShare_ = share;
    unansweredUntil_ = until;
    random_.seed(seed);
}

bool Minion::putAside(const std::string &path, const Json &body)
{
    const bool isOrder = path.ends_with("/run-start") || path.ends_with("/run-stop");
    if (!isOrder || nowMs() >= unansweredUntil_
        || std::uniform_real_distribution<double>(0, 1)(random_) >= unansweredShare_)
        return false;
    const std::int64_t delay = std::uniform_int_distribution<std::int64_t>(2000, 12'000)(random_);
    lateOrders_.push_back({nowMs() + delay, path, body});
    record("minion " + options_.id + " leaves " + path + ' ' + body.value("task", std::string())
           + " unanswered and carries it out in " + std::to_string(delay) + " ms");
    return true;
}

void Minion::carryOutLateOrders()
{
    for (std::size_t i = 0; i < lateOrders_.size();) {
        if (nowMs() < lateOrders_[i].dueAt) {
            ++i;
            continue;
        }
        const LateOrder order = lateOrders_[i];
        lateOrders_.erase(lateOrders_.begin() + static_cast<std::ptrdiff_t>(i));
        record("minion " + options_.id + " carries out a late order:");
        if (order.path.ends_with("/run-start"))
            start(order.body, true);
        else
            stop(order.body);
    }
}

std::uint64_t Minion::clockMs() const
{
    return static_cast<std::uint64_t>(nowMs() - bornAt_) + 1000;
}

bool Minion::announce()
{
    Json body;
    {
        const std::lock_guard lock(mutex_);
        body = {{"service", options_.service},
                {"address", options_.address.text()},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", draining_ ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", 64000}, {"memMb", 256000}, {"gpu", 0}}},
                {"labels", {"a", "r1"}},
                {"clockMs", clockMs()},
                {"born", born_},
                {"sequence", ++sequence_}};
        if (draining_)
            body["drainRemainingMs"] = 2000;
    }
    return httpCall(options_.agent,
                    {"PUT", "/oleanderusher/instances/" + options_.id, {}, dump(body)},
                    AcknowledgeMs)
                   .status
               / 100
           == 2;
}

bool Minion::announceDraining()
{
    {
        const std::lock_guard lock(mutex_);
        draining_ = true;
    }
    const bool acknowledged = announce();
    record("minion " + options_.id
           + " reports draining: " + (acknowledged ? "acknowledged" : "no acknowledgement"));
    return acknowledged;
}

bool Minion::depart()
{
    const bool acknowledged =
        httpCall(options_.agent, {"DELETE", "/oleanderusher/instances/" + options_.id, {}, {}},
                 AcknowledgeMs)
                .status
            / 100
        == 2;
    record("minion " + options_.id
           + " sent DELETE: " + (acknowledged ? "acknowledged" : "no acknowledgement within 1 s"));
    return acknowledged;
}

void Minion::heartbeatLoop()
{
    std::int64_t next = 0;
    std::uint64_t announcedBorn = 0;
    while (!stopping_) {
        const bool due = up_ && (nowMs() >= next || announcedBorn != born_);
        if (due) {
            announcedBorn = born_;
            // Without an acknowledgement the heartbeat is sent again soon.
            next = announce() ? nowMs() + options_.heartbeatMs : nowMs() + 200;
        }
        sleepMs(10);
    }
}

void Minion::runLoop()
{
    while (!stopping_) {
        {
            const std::lock_guard lock(mutex_);
            if (up_)
                carryOutLateOrders();
            const bool lapsed = leaseUntil_ > 0 && clockMs() > leaseUntil_;
            std::vector<std::pair<std::string, const char *>> ends;
            for (const auto &[task, run] : running_) {
                if (lapsed)
                    ends.emplace_back(task, "lapsed");
                else if (nowMs() >= run.endsAt)
                    ends.emplace_back(task, run.durationMs < 0 ? "stopped" : "done");
            }
            for (const auto &[task, how] : ends)
                finish(task, how);
        }
        sleepMs(5);
    }
}

void Minion::finish(const std::string &task, const char *how)
{
    const Run run = running_.at(task);
    history_.end(run.index, how);
    record("minion " + options_.id + ": " + task + " run " + std::to_string(run.run) + " ends "
           + how);
    finished_.push_back(Json::array({++lastEnd_, task, run.run, how, ""}));
    highestRun_[task] = std::max(highestRun_[task], run.run);
    running_.erase(task);
    changed_.notify_all();
}

Reply Minion::answer(int status, Json body) const
{
    body["clockMs"] = clockMs();
    body["born"] = born_;
    return {status, dump(body)};
}

void Minion::extendLease(const Json &body)
{
    const std::uint64_t asked = body.value("deadlineMs", std::uint64_t(0));
    leaseUntil_ = std::max(leaseUntil_, std::min(asked, clockMs() + options_.holdMaxMs));
}

std::unique_ptr<Reply> Minion::handle(const Request &request)
{
    if (request.method == "GET")
        return std::make_unique<Reply>(Reply{200, "{}"});
    const Json body = Json::parse(request.body, nullptr, false);
    std::unique_lock lock(mutex_);
    if (!up_)
        return nullptr;
    if (!body.is_object())
        return std::make_unique<Reply>(answer(400, Json::object()));
    const auto instance = request.headers.find("oleanderusher-expected-instance");
    if (instance != request.headers.end() && instance->second != options_.id)
        return std::make_unique<Reply>(answer(421, Json::object()));
    const std::uint64_t fence = body.value("fence", std::uint64_t(0));
    if (fence < fence_)
        return std::make_unique<Reply>(answer(409, {{"reason", "fence"}}));
    fence_ = fence;
    if (putAside(request.path, body))
        return nullptr;
    if (request.path.ends_with("/run-start"))
        return std::make_unique<Reply>(start(body, false));
    if (request.path.ends_with("/run-stop"))
        return std::make_unique<Reply>(stop(body));
    if (request.path.ends_with("/hold"))
        return std::make_unique<Reply>(hold(body, lock));
    if (request.path.ends_with("/pace"))
        return std::make_unique<Reply>(answer(200, Json::object()));
    return std::make_unique<Reply>(answer(404, Json::object()));
}

Reply Minion::start(const Json &body, bool late)
{
    const std::string task = body.at("task");
    const std::uint64_t run = body.at("run");
    const std::uint64_t deadline = body.value("deadlineMs", std::uint64_t(0));
    const auto refuse = [&](const char *reason) {
        record("minion " + options_.id + ": start " + task + " run " + std::to_string(run)
               + " -> 409 " + reason);
        return answer(409, {{"reason", reason}});
    };
    if (deadline <= clockMs())
        return refuse("late");
    extendLease(body);
    const auto same = running_.find(task);
    if (same != running_.end() && same->second.run == run)
        return answer(200, Json::object());
    if (same != running_.end() || (highestRun_.contains(task) && run <= highestRun_[task]))
        return refuse("old");
    const std::string spec = body.at("spec");
    const std::size_t mark = spec.find("ms=");
    Run &added = running_[task];
    added.run = run;
    added.durationMs = mark == std::string::npos ? 500 : std::stol(spec.substr(mark + 3));
    added.startedAt = nowMs();
    added.endsAt = added.startedAt + added.durationMs;
    added.index = history_.begin(options_.id, task, run, late);
    record("minion " + options_.id + ": start " + task + " run " + std::to_string(run) + " -> 200");
    return answer(200, Json::object());
}

Reply Minion::stop(const Json &body)
{
    const std::string task = body.at("task");
    const std::uint64_t run = body.at("run");
    record("minion " + options_.id + ": stop " + task + " run " + std::to_string(run) + " -> 200");
    highestRun_[task] = std::max(highestRun_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run == run && found->second.durationMs >= 0) {
        found->second.durationMs = -1;
        found->second.endsAt = std::min(found->second.endsAt, nowMs() + StopMs);
    }
    return answer(200, Json::object());
}

Reply Minion::hold(const Json &body, std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t cursor = body.value("ackCursor", std::uint64_t(0));
    extendLease(body);
    std::erase_if(finished_, [&](const Json &row) { return row[0] <= cursor; });
    const std::int64_t until = nowMs() + body.value("waitMs", 0);
    while (up_ && finished_.empty() && nowMs() < until)
        changed_.wait_for(lock, std::chrono::milliseconds(10));
    Json running = Json::array();
    for (const auto &[task, run] : running_) {
        const std::int64_t total = std::max<std::int64_t>(1, std::abs(run.durationMs));
        const std::int64_t percent =
            std::min<std::int64_t>(99, (nowMs() - run.startedAt) * 100 / total);
        running.push_back(Json::array({task, run.run, "", percent, 1000}));
    }
    return answer(200, {{"running", running}, {"finished", finished_}});
}

Deployment::Deployment(std::size_t entries, std::size_t machines, std::size_t spare) : spare_(spare)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    const auto seed = static_cast<std::uint64_t>(::getpid()) + wallMs();
    network_ = 64 + static_cast<int>(::getpid() % 64);
    hostNumber_ = static_cast<int>(seed % 200) * 256 + 20 * 256;
    // Ports are the same on all machines, as in the users' deployments.
    portBase_ = 20'000 + static_cast<int>(seed * 7 % 9000);
    controls_.resize(3);
    for (Control &control : controls_) {
        control.host = nextHost();
        control.door = {control.host, portBase_};
        control.metrics = {control.host, portBase_ + 1};
    }
    for (std::size_t i = 0; i < entries; ++i) {
        const std::string host = nextHost();
        entries_.push_back(
            {{host, portBase_ + 3}, {host, portBase_ + 4}, {host, portBase_ + 5}, nullptr});
    }
    for (std::size_t i = 0; i < machines; ++i) {
        const std::string host = nextHost();
        machines_.push_back(
            {{host, portBase_}, {host, portBase_ + 6}, {host, portBase_ + 7}, nullptr, nullptr});
    }
}

Deployment::~Deployment()
{
    for (Machine &machine : machines_) {
        machine.agent.reset();
        machine.minion.reset();
    }
    entries_.clear();
    controls_.clear();
    if (std::getenv("KEEP") != nullptr) {
        std::cout << "logs: " << folder_ << std::endl;
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::nextHost()
{
    while (true) {
        ++hostNumber_;
        if (hostNumber_ % 256 == 0 || hostNumber_ % 256 == 255)
            continue;
        const std::string host = "127." + std::to_string(network_) + '.'
                                 + std::to_string(hostNumber_ / 256) + '.'
                                 + std::to_string(hostNumber_ % 256);
        bool free = true;
        for (int port = portBase_; port < portBase_ + 8; ++port)
            free = free && isFree({host, port});
        if (free)
            return host;
    }
}

std::string Deployment::writeSettings(const std::string &name, const std::string &text) const
{
    const std::string path = folder_ + '/' + name + ".ini";
    std::ofstream(path) << text << groupText();
    return path;
}

std::string Deployment::groupText() const
{
    std::string seeds;
    for (const Control &control : controls_)
        seeds += (seeds.empty() ? "" : ",") + control.door.text();
    return "[group]\nseeds = " + seeds + "\nlink-port = " + std::to_string(portBase_ + 2) + '\n';
}

void Deployment::startControl(std::size_t index, bool bootstrap)
{
    Control &control = controls_.at(index);
    const std::string name = "control-" + std::to_string(index + 1);
    const std::string data = folder_ + "/data-" + std::to_string(index + 1);
    std::filesystem::create_directories(data);
    const std::string settings = writeSettings(
        name, "[control-host]\nlink = " + control.host + ':' + std::to_string(portBase_ + 2)
                  + "\noperator-door = " + control.door.text() + "\ndata-folder = " + data
                  + "\nmay-form = " + (bootstrap ? "true" : "false")
                  + "\ntolerated-losses = 1\nlongest-lease = 10000ms\nmetrics-door = "
                  + control.metrics.text() + '\n');
    control.process.reset();
    control.process =
        std::make_unique<Process>(name, std::vector<std::string>{"target/oleander", "control"},
                                  settings, folder_ + '/' + name + ".log");
}

void Deployment::startEntry(std::size_t index)
{
    Entry &entry = entries_.at(index);
    const std::string name = "entry-" + std::to_string(index + 1);
    const std::string settings =
        writeSettings(name, "[job-entry]\nname = " + name + "\ncaller-door = " + entry.door.text()
                                + "\nhealth-door = " + entry.health.text()
                                + "\nmetrics-door = " + entry.metrics.text() + '\n');
    entry.process.reset();
    entry.process =
        std::make_unique<Process>(name, std::vector<std::string>{"target/oleander", "entry"},
                                  settings, folder_ + '/' + name + ".log");
}

void Deployment::startAgent(std::size_t index)
{
    Machine &machine = machines_.at(index);
    const std::string name = "side-" + std::to_string(index + 1);
    const std::string settings =
        writeSettings(name, "[machine-agent]\nname = " + name + "\nminion-door = "
                                + machine.door.text() + "\nminion = " + machine.app.text()
                                + "\nmetrics-door = " + machine.metrics.text() + '\n');
    machine.agent.reset();
    machine.agent = std::make_unique<Process>(
        name, std::vector<std::string>{"target/oleander-agent", "machine"}, settings,
        folder_ + '/' + name + ".log");
}

void Deployment::startMinion(std::size_t index)
{
    Machine &machine = machines_.at(index);
    Minion::Options options;
    options.id = "i-" + std::to_string(index + 1);
    options.service = "notices";
    options.address = machine.app;
    options.agent = machine.door;
    machine.minion = std::make_unique<Minion>(options, history_);
}

bool Deployment::start()
{
    for (std::size_t i = 0; i < controls_.size(); ++i)
        startControl(i, true);
    for (std::size_t i = 0; i < machines_.size(); ++i)
        startAgent(i);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        startEntry(i);
    for (std::size_t i = 0; i + spare_ < machines_.size(); ++i)
        startMinion(i);
    if (!configure(configuration(1)))
        return false;
    return waitFor(15'000, [this] {
        for (const Entry &entry : entries_) {
            if (httpCall(entry.health, {"GET", "/oleanderusher/readyz", {}, {}}, 1000).status
                != 200)
                return false;
        }
        return true;
    });
}

Json Deployment::configuration(int version)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-press"},
               {"host", QueueHost},
               {"pathPrefix", QueuePrefix},
               {"type", "non_idempotent"},
               {"timeoutMs", 3000},
               {"targetCompletionMs", 1000},
               {"priority", 0},
               {"service", "notices"},
               {"maxAttempts", 3},
               {"stretchFactor", 2.0}}}},
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
}

bool Deployment::configure(const Json &configuration)
{
    std::size_t next = 0;
    const bool accepted = waitFor(20'000, [&] {
        const Control &control = controls_[next++ % controls_.size()];
        const Reply reply =
            httpCall(control.door, {"PUT", "/oleanderusher/config", {}, dump(configuration)}, 1000);
        if (reply.status != 200)
            sleepMs(100);
        return reply.status == 200;
    });
    record("operator: configuration " + dump(configuration.at("version"))
           + (accepted ? " acknowledged" : " not acknowledged"));
    return accepted;
}

Reply Deployment::client(std::size_t entry, const std::string &method, const std::string &id,
                         const std::string &body, std::int64_t timeout)
{
    const Reply reply =
        httpCall(entries_.at(entry).door,
                 {method,
                  QueuePrefix + id,
                  {{"Host", QueueHost}, {"Oleanderusher-Deadline-Ms", std::to_string(timeout)}},
                  body},
                 timeout);
    record("client: " + method + ' ' + id + " at entry-" + std::to_string(entry + 1) + " -> "
           + std::to_string(reply.status) + ' ' + reply.body);
    return reply;
}

bool Deployment::submit(const std::string &id, const Json &job)
{
    std::size_t next = 0;
    return waitFor(10'000, [&] {
        const int status = client(next++ % entries_.size(), "POST", id, dump(job)).status;
        if (status / 100 != 2)
            sleepMs(200);
        return status / 100 == 2;
    });
}

std::string Deployment::state(const std::string &id)
{
    std::size_t next = 0;
    std::string found;
    waitFor(10'000, [&] {
        const Reply reply = client(next++ % entries_.size(), "GET", id);
        if (reply.status == 200)
            found = Json::parse(reply.body).value("state", std::string());
        else if (reply.status == 410)
            found = "410";
        else
            sleepMs(200);
        return !found.empty();
    });
    return found;
}

std::size_t Deployment::machineRunning(const std::string &task) const
{
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (machines_[i].minion && machines_[i].minion->runs(task))
            return i;
    }
    return machines_.size();
}

Json makeJob(int count, std::int64_t durationMs, int milliCores)
{
    return {
        {"spec", "ms=" + std::to_string(durationMs)},
        {"steps",
         {{{"count", count}, {"cpu", milliCores}, {"memMb", 256}, {"estimateMs", durationMs}}}}};
}

void recordRuns(const History &history)
{
    record("runs:");
    for (const RunRecord &run : history.all()) {
        record("  " + run.task + " run " + std::to_string(run.run) + " on " + run.minion + " from "
               + std::to_string(run.startedAt) + " ms to "
               + (run.endedAt == 0 ? "the end" : std::to_string(run.endedAt) + " ms, " + run.how)
               + (run.late ? " (order carried out late)" : ""));
    }
}

} // namespace Review
