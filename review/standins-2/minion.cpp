// Stand-in for a minion of the users' platform, after "Running tasks" and "Service discovery" of
// their protocol page. It runs each task for the time in its spec: "ms=2000 spread=10" means 2 s,
// more or less by up to 10% as drawn from the name of the task. With "late=3000" in the spec it
// leaves the first call to start run 1 of the task unanswered and carries it out 3 s later. With
// "lasts=400" the task is at work 400 ms after its start, and runs until it is stopped.
//
// Every start and end is written to the file --events as "MS MINION start TASK RUN" and
// "MS MINION HOW TASK RUN"; "noted" means that ackCursor has reached the end.

#include "net.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace Review;
using Json = nlohmann::json;

namespace {

std::atomic<bool> isTerminated{false};

struct Run
{
    std::string task;
    std::uint64_t number = 0;
    SteadyClock::time_point startedAt;
    SteadyClock::time_point endsAt;
    /** Set once a stop has been ordered. */
    bool isStopping = false;
    /** Time from the start until a task that lasts is at work; 0 for any other task. */
    std::int64_t startupMs = 0;
};

struct Options
{
    std::string listen;
    std::string agent;
    std::string name = "i-1";
    std::string service = "s";
    std::string zone = "a";
    std::string labels = "a";
    std::string events;
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 256'000;
    std::int64_t beatMs = 1'500;
    std::int64_t holdMaxMs = 10'000;
    std::int64_t drainMs = 2'000;
    /** Time for which it goes on after drainMs. */
    std::int64_t lingerMs = 2'000;
};

class Minion
{
public:
    explicit Minion(Options options)
        : options_(std::move(options)), born_(wallMs()), startedAt_(SteadyClock::now())
    {
        events_ = open(options_.events.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    }

    int run()
    {
        const int listener = listenAt(options_.listen);
        if (listener < 0)
            return 1;
        std::thread([this, listener] { acceptLoop(listener); }).detach();
        std::thread([this] { runLoop(); }).detach();
        beatLoop();
        return 0;
    }

private:
    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now()
                                                                     - startedAt_)
                   .count()
               + 1;
    }

    void record(const std::string &what, const std::string &task, std::uint64_t run) const
    {
        const std::string line = std::to_string(wallMs()) + " " + options_.name + " " + what + " "
                                 + task + " " + std::to_string(run) + "\n";
        if (write(events_, line.data(), line.size()) < 0)
            return;
    }

    static std::int64_t number(const std::string &spec, const std::string &key, std::int64_t other)
    {
        const auto found = spec.find(key + "=");
        return found == std::string::npos ? other
                                          : std::atoll(spec.c_str() + found + key.size() + 1);
    }

    static std::chrono::milliseconds duration(const std::string &spec, const std::string &task)
    {
        const std::int64_t base = number(spec, "ms", 500);
        const std::int64_t spread = base * number(spec, "spread", 0) / 100;
        std::uint64_t hash = 1469598103934665603ULL;
        for (const char letter : task)
            hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
        const auto drawn = static_cast<std::int64_t>((hash >> 20U) % 2001) - 1000;
        return std::chrono::milliseconds(base + spread * drawn / 1000);
    }

    // The lock is held in the functions below.

    void finish(std::list<Run>::iterator run, const char *how)
    {
        record(how, run->task, run->number);
        finished_.push_back(Json::array({++lastEnd_, run->task, run->number, how, ""}));
        highest_[run->task] = std::max(highest_[run->task], run->number);
        running_.erase(run);
        changed_.notify_all();
    }

    std::pair<int, Json> start(const Json &body)
    {
        const std::string task = body.at("task");
        const std::uint64_t run = body.at("run");
        const std::int64_t deadline = body.value("deadlineMs", std::int64_t(0));
        extend(deadline);
        for (const Run &other : running_) {
            if (other.task == task && other.number == run)
                return {200, Json::object()};
        }
        const auto known = highest_.find(task);
        if (known != highest_.end() && run <= known->second)
            return {409, {{"reason", "old"}}};
        if (deadline < clockMs())
            return {409, {{"reason", "late"}}};
        const auto now = SteadyClock::now();
        const std::string spec = body.at("spec");
        const std::int64_t startupMs = number(spec, "lasts", 0);
        const auto length = startupMs > 0 ? std::chrono::hours(1) : duration(spec, task);
        running_.push_back({task, run, now, now + length, false, startupMs});
        record("start", task, run);
        changed_.notify_all();
        return {200, Json::object()};
    }

    std::pair<int, Json> stop(const Json &body)
    {
        const std::string task = body.at("task");
        const std::uint64_t run = body.at("run");
        highest_[task] = std::max(highest_[task], run);
        for (Run &other : running_) {
            if (other.task == task && other.number == run && !other.isStopping) {
                other.isStopping = true;
                other.endsAt = SteadyClock::now() + std::chrono::milliseconds(100);
            }
        }
        changed_.notify_all();
        return {200, Json::object()};
    }

    void extend(std::int64_t deadline)
    {
        deadlineMs_ = std::max(deadlineMs_, std::min(deadline, clockMs() + options_.holdMaxMs));
    }

    Json lists() const
    {
        constexpr std::size_t MaxEnds = 500;
        Json running = Json::array();
        const auto now = SteadyClock::now();
        for (const Run &run : running_) {
            const auto length = run.startupMs > 0
                                    ? std::chrono::milliseconds(run.startupMs)
                                    : std::chrono::duration_cast<std::chrono::milliseconds>(
                                        run.endsAt - run.startedAt);
            const double whole = std::chrono::duration<double>(length).count();
            const double done = std::chrono::duration<double>(now - run.startedAt).count();
            const int percent =
                std::clamp(static_cast<int>(100 * done / whole), 0, run.startupMs > 0 ? 100 : 99);
            running.push_back(Json::array({run.task, run.number, "", percent, 0}));
        }
        Json finished = Json::array();
        for (std::size_t i = 0; i < finished_.size() && i < MaxEnds; ++i)
            finished.push_back(finished_[i]);
        return {{"running", running}, {"finished", finished}};
    }

    std::pair<int, Json> hold(std::unique_lock<std::mutex> &lock, const Json &body, bool isOld)
    {
        if (!isOld) {
            const std::int64_t cursor = body.value("ackCursor", std::int64_t(0));
            std::erase_if(finished_, [&](const Json &row) {
                const bool isNoted = row[0] <= cursor;
                if (isNoted)
                    record("noted", row[1], row[2]);
                return isNoted;
            });
            extend(body.value("deadlineMs", std::int64_t(0)));
        }
        const auto until =
            SteadyClock::now() + std::chrono::milliseconds(body.value("waitMs", std::int64_t(0)));
        changed_.wait_until(lock, until, [this] { return !finished_.empty(); });
        return {200, lists()};
    }

    /** Answers one call; a status of 0 means that it gets no answer. */
    std::pair<int, Json> answer(const HttpMessage &call)
    {
        const auto expected = call.headers.find("oleanderusher-expected-instance");
        if (expected != call.headers.end() && expected->second != options_.name)
            return {421, Json::object()};
        const Json body = Json::parse(call.body, nullptr, false);
        if (!body.is_object())
            return {400, Json::object()};
        std::unique_lock lock(mutex_);
        const std::uint64_t fence = body.value("fence", std::uint64_t(0));
        const bool isOld = fence < fence_;
        fence_ = std::max(fence_, fence);
        if (call.path == "/oleanderusher/hold")
            return hold(lock, body, isOld);
        if (isOld)
            return {409, {{"reason", "fence"}}};
        if (call.path == "/oleanderusher/run-stop")
            return stop(body);
        if (call.path == "/oleanderusher/pace")
            return {200, Json::object()};
        if (call.path != "/oleanderusher/run-start")
            return {404, Json::object()};
        const std::string spec = body.at("spec");
        const std::int64_t lateMs = number(spec, "late", 0);
        if (lateMs > 0 && body.at("run") == 1 && delayed_.insert(body.at("task")).second) {
            record("received", body.at("task"), body.at("run"));
            std::thread([this, body, lateMs] {
                std::this_thread::sleep_for(std::chrono::milliseconds(lateMs));
                const std::lock_guard later(mutex_);
                if (body.value("fence", std::uint64_t(0)) >= fence_)
                    start(body);
            }).detach();
            return {0, {}};
        }
        return start(body);
    }

    void serve(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        HttpMessage call;
        while (
            readMessage(descriptor, buffer, call, SteadyClock::now() + std::chrono::seconds(120))) {
            auto [status, body] = answer(call);
            if (status == 0) {
                // Waits until the caller gives up.
                char byte = 0;
                while (recv(descriptor, &byte, 1, 0) > 0) {
                }
                break;
            }
            body["clockMs"] = clockMs();
            body["born"] = born_;
            const std::string text = body.dump();
            if (!sendAll(descriptor, "HTTP/1.1 " + std::to_string(status)
                                         + " -\r\nContent-Type: application/json\r\n"
                                           "Content-Length: "
                                         + std::to_string(text.size()) + "\r\n\r\n" + text))
                break;
        }
        close(descriptor);
    }

    void acceptLoop(int listener)
    {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0)
                std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

    void runLoop()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            const auto now = SteadyClock::now();
            const bool isLapsed = clockMs() > deadlineMs_;
            for (auto run = running_.begin(); run != running_.end();) {
                const auto next = std::next(run);
                if (isLapsed)
                    finish(run, "lapsed");
                else if (now >= run->endsAt)
                    finish(run, run->isStopping ? "stopped" : "done");
                run = next;
            }
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            lock.lock();
        }
    }

    bool beat(const char *state)
    {
        Json labels = Json::array();
        std::size_t at = 0;
        while (at <= options_.labels.size()) {
            const auto comma = std::min(options_.labels.find(',', at), options_.labels.size());
            labels.push_back(options_.labels.substr(at, comma - at));
            at = comma + 1;
        }
        const Json body = {
            {"service", options_.service},
            {"address", options_.listen},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memMb}, {"gpu", 0}}},
            {"labels", labels},
            {"clockMs", clockMs()},
            {"born", born_},
            {"sequence", ++sequence_}};
        const int status =
            httpCall(options_.agent, "PUT", "/oleanderusher/instances/" + options_.name, "",
                     body.dump(), 1'000);
        return status >= 200 && status < 300;
    }

    void beatLoop()
    {
        auto next = SteadyClock::now();
        while (!isTerminated) {
            if (SteadyClock::now() >= next)
                next = SteadyClock::now()
                       + std::chrono::milliseconds(beat("ready") ? options_.beatMs : 100);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        record("draining", "-", 0);
        // Without an acknowledgement it ends some seconds later all the same.
        const auto giveUp = SteadyClock::now() + std::chrono::seconds(5);
        while (!beat("draining") && SteadyClock::now() < giveUp)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        for (std::int64_t left = options_.drainMs + options_.lingerMs; left > 0;
             left -= options_.beatMs) {
            std::this_thread::sleep_for(std::chrono::milliseconds(std::min(left, options_.beatMs)));
            beat("draining");
        }
        httpCall(options_.agent, "DELETE", "/oleanderusher/instances/" + options_.name, "", "",
                 1'000);
        record("left", "-", 0);
        _exit(0);
    }

    Options options_;
    std::int64_t born_;
    SteadyClock::time_point startedAt_;
    int events_ = -1;
    std::uint64_t sequence_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t fence_ = 0;
    std::int64_t deadlineMs_ = 0;
    std::int64_t lastEnd_ = 0;
    std::list<Run> running_;
    std::vector<Json> finished_;
    std::map<std::string, std::uint64_t> highest_;
    std::set<std::string> delayed_;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGTERM, [](int) { isTerminated = true; });
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const std::string value = argv[i + 1];
        const std::map<std::string, std::string *> texts = {
            {"--listen", &options.listen}, {"--agent", &options.agent},
            {"--name", &options.name},     {"--service", &options.service},
            {"--labels", &options.labels}, {"--events", &options.events},
            {"--zone", &options.zone}};
        const std::map<std::string, std::int64_t *> numbers = {
            {"--cpu", &options.cpu}, {"--mem", &options.memMb}, {"--linger", &options.lingerMs}};
        if (texts.contains(name))
            *texts.at(name) = value;
        else if (numbers.contains(name))
            *numbers.at(name) = std::atoll(value.c_str());
    }
    return Minion(options).run();
}
