// Stand-in worker: runs tasks under leases as the platform's workers do, and stops them by itself
// when their lease ends. Words in the payload of a task control its behaviour:
//
//   ms=N               ends with success after N milliseconds
//   fail               ends with failure instead
//   checkpoint=fail    fails every checkpoint
//
// Tasks whose names begin with "service." run until they are stopped. With --intervals, a line with
// the host's monotonic time and the process id is written at the start and at the end of each
// attempt.

#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <sstream>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ADDRESS:PORT of the HTTP door");
ABSL_FLAG(int, run_ms, 0, "time after which batch tasks end; 0 lets them run until stopped");
ABSL_FLAG(int, start_ms, 20, "time to start a task");
ABSL_FLAG(int, checkpoint_ms, 50, "time to take a checkpoint");
ABSL_FLAG(int, checkpoint_every_ms, 1000, "time between checkpoints that tasks take themselves");
ABSL_FLAG(int, usage_age_ms, 5000, "age of the usage that it tells");
ABSL_FLAG(std::string, intervals, "", "file that gets a line for each begin and end of an attempt");
ABSL_FLAG(bool, fail_all, false, "lets every task fail when it starts");
ABSL_FLAG(bool, lose_first_stop, false, "answers the first stop of each attempt with 503");
ABSL_FLAG(bool, ignore_lease, false, "runs tasks past the end of the lease, as no worker may");

using namespace Oleander;
using nlohmann::json;

namespace {

constexpr unsigned CheckpointNumberBits = 32;

struct Run
{
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    std::string state = "starting";
    std::string reason;
    std::string payload;
    std::uint64_t checkpoint = 0;
    std::uint32_t checkpointsTaken = 0;
    std::uint32_t percent = 100;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    TimePoint leaseEnd{};
    TimePoint runningFrom{};
    TimePoint endsAt = TimePoint::max();
    TimePoint orderedCheckpointAt = TimePoint::max();
    TimePoint ownCheckpointAt = TimePoint::max();
    bool isLive = true;
};

bool payloadHasWord(const std::string &payload, const std::string &word)
{
    std::istringstream words(payload);
    for (std::string next; words >> next;) {
        if (next == word)
            return true;
    }
    return false;
}

int payloadMilliseconds(const std::string &payload, int defaultMilliseconds)
{
    std::istringstream words(payload);
    for (std::string next; words >> next;) {
        if (next.starts_with("ms="))
            return std::atoi(next.c_str() + 3);
    }
    return defaultMilliseconds;
}

/** The stand-in worker: its HTTP server and its runs. */
class Worker
{
public:
    explicit Worker(EventLoop &loop)
        : loop_(loop)
        , server_(loop, {},
                  [this](const std::shared_ptr<HttpExchange> &exchange) {
                      exchange->respond(answer(exchange->request()));
                  })
        , timer_(loop, [this] { tick(); })
    {
        if (const std::string file = absl::GetFlag(FLAGS_intervals); !file.empty())
            intervals_.reset(std::fopen(file.c_str(), "ae"));
        timer_.startEvery(std::chrono::milliseconds(5));
    }

    Result<std::string> listen() { return server_.listen(absl::GetFlag(FLAGS_listen)); }

private:
    struct CloseFile
    {
        void operator()(std::FILE *file) const { std::fclose(file); }
    };

    static HttpResponse jsonAnswer(unsigned status, const json &body)
    {
        return {status, {{"Content-Type", "application/json"}}, body.dump()};
    }

    static HttpResponse refuse(unsigned status, const std::string &reason)
    {
        return jsonAnswer(status, {{"reason", reason}});
    }

    HttpResponse answer(const HttpRequest &request)
    {
        if (request.method == "GET" && request.path == "/tasks")
            return jsonAnswer(200, taskListing());
        if (request.method == "GET" && request.path == "/usage")
            return jsonAnswer(200, usageListing());
        const json body = json::parse(request.body, nullptr, false);
        if (request.method != "DELETE" && !body.is_object())
            return refuse(400, "The body is not a JSON object.");
        if (request.method == "PUT" && request.path == "/lease")
            return renew(body);
        constexpr std::string_view Prefix = "/tasks/";
        if (!request.path.starts_with(Prefix))
            return refuse(404, "There is no such path.");
        std::string task = request.path.substr(Prefix.size());
        std::string order;
        if (const auto slash = task.find('/'); slash != std::string::npos) {
            order = task.substr(slash + 1);
            task.resize(slash);
        }
        if (request.method == "PUT")
            return start(task, body);
        if (request.method == "DELETE")
            return stop(task, static_cast<std::uint32_t>(std::atoi(
                                  request.query.substr(request.query.find('=') + 1).c_str())));
        return applyOrder(task, order, body);
    }

    HttpResponse start(const std::string &task, const json &body)
    {
        const auto attempt = body.value("attempt", 0U);
        const TimePoint leaseEnd{Duration(body.value("lease_end_us", std::int64_t(0)))};
        if (attempt <= stoppedAttempts_[task])
            return refuse(409, "The attempt has been stopped here.");
        if (leaseEnd <= loop_.clock().now() && !absl::GetFlag(FLAGS_ignore_lease))
            return refuse(503, "The lease has ended.");
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.attempt == attempt)
            return jsonAnswer(200, {{"state", found->second.state}});
        if (found != runs_.end() && found->second.isLive)
            return refuse(503, "Another attempt of the task runs here.");
        Run run;
        run.attempt = attempt;
        run.session = body.value("session", std::uint64_t(0));
        run.payload = body.value("payload", std::string());
        run.checkpoint = body.value("checkpoint", std::uint64_t(0));
        run.percent = body.value("percent", 100U);
        run.milliCores = body["size"].value("millicores", 0U);
        run.memoryMiB = body["size"].value("memory_mib", std::uint64_t(0));
        run.leaseEnd = leaseEnd;
        run.runningFrom =
            loop_.clock().now() + std::chrono::milliseconds(absl::GetFlag(FLAGS_start_ms));
        runs_[task] = run;
        logInterval("begin", task, run.attempt, "");
        return jsonAnswer(200, {{"state", "starting"}});
    }

    HttpResponse stop(const std::string &task, std::uint32_t attempt)
    {
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.attempt > attempt)
            return refuse(409, "A later attempt runs here.");
        if (found != runs_.end() && found->second.attempt == attempt) {
            endRun(task, found->second, "stopped", "");
            runs_.erase(found);
        }
        const bool isFirstStop = stoppedAttempts_[task] < attempt;
        stoppedAttempts_[task] = std::max(stoppedAttempts_[task], attempt);
        if (isFirstStop && absl::GetFlag(FLAGS_lose_first_stop))
            return refuse(503, "The answer is lost.");
        return jsonAnswer(200, json::object());
    }

    HttpResponse applyOrder(const std::string &task, const std::string &order, const json &body)
    {
        const auto found = runs_.find(task);
        if (found == runs_.end() || found->second.attempt != body.value("attempt", 0U))
            return refuse(404, "The attempt is not here.");
        Run &run = found->second;
        if (run.state != "running")
            return refuse(409, "The attempt does not run.");
        if (order == "throttle") {
            run.percent = body.value("percent", 100U);
            return jsonAnswer(200, json::object());
        }
        if (order != "checkpoint")
            return refuse(404, "There is no such order.");
        if (payloadHasWord(run.payload, "checkpoint=fail"))
            return refuse(409, "The checkpoint failed.");
        run.orderedCheckpointAt =
            loop_.clock().now() + std::chrono::milliseconds(absl::GetFlag(FLAGS_checkpoint_ms));
        return jsonAnswer(202, json::object());
    }

    HttpResponse renew(const json &body)
    {
        const TimePoint leaseEnd{Duration(body.value("lease_end_us", std::int64_t(0)))};
        const auto session = body.value("session", std::uint64_t(0));
        // Attempts of earlier sessions are abandoned; a renewal never applies to them.
        for (auto &[task, run] : runs_) {
            if (run.session == session && run.leaseEnd < leaseEnd)
                run.leaseEnd = leaseEnd;
        }
        return jsonAnswer(200, json::object());
    }

    json taskListing() const
    {
        json list = json::array();
        for (const auto &[task, run] : runs_) {
            list.push_back({{"task", task},
                            {"attempt", run.attempt},
                            {"session", run.session},
                            {"state", run.state},
                            {"reason", run.reason},
                            {"checkpoint", run.checkpoint}});
        }
        return list;
    }

    json usageListing() const
    {
        json list = json::array();
        for (const auto &[task, run] : runs_) {
            if (run.state != "running")
                continue;
            list.push_back(
                {{"task", task},
                 {"attempt", run.attempt},
                 {"age_us",
                  std::uint64_t(1000) * static_cast<unsigned>(absl::GetFlag(FLAGS_usage_age_ms))},
                 {"millicores", run.milliCores * run.percent / 100},
                 {"memory_mib", run.memoryMiB},
                 {"progress", 1.0}});
        }
        return list;
    }

    void tick()
    {
        const TimePoint now = loop_.clock().now();
        for (auto &[task, run] : runs_) {
            if (!run.isLive)
                continue;
            if (now >= run.leaseEnd && !absl::GetFlag(FLAGS_ignore_lease))
                endRun(task, run, "stopped", "The lease ended.");
            else if (run.state == "starting" && now >= run.runningFrom)
                beginRun(task, run, now);
            else if (now >= run.endsAt)
                endRun(task, run, payloadHasWord(run.payload, "fail") ? "failed" : "succeeded", "");
            else if (now >= run.orderedCheckpointAt || now >= run.ownCheckpointAt)
                takeCheckpoint(run, now);
        }
    }

    void beginRun(const std::string &task, Run &run, TimePoint now)
    {
        if (absl::GetFlag(FLAGS_fail_all)) {
            endRun(task, run, "failed", "The worker fails all that it starts.");
            return;
        }
        run.state = "running";
        const int milliseconds = payloadMilliseconds(run.payload, absl::GetFlag(FLAGS_run_ms));
        if (milliseconds > 0 && !task.starts_with("service."))
            run.endsAt = now + std::chrono::milliseconds(milliseconds);
        if (!payloadHasWord(run.payload, "checkpoint=fail"))
            run.ownCheckpointAt = now + ownCheckpointInterval();
    }

    static Duration ownCheckpointInterval()
    {
        return std::chrono::milliseconds(absl::GetFlag(FLAGS_checkpoint_every_ms));
    }

    /** Checkpoints of a later attempt get higher numbers than those of all earlier attempts. */
    void takeCheckpoint(Run &run, TimePoint now) const
    {
        ++run.checkpointsTaken;
        run.checkpoint =
            (std::uint64_t(run.attempt) << CheckpointNumberBits) + run.checkpointsTaken;
        run.orderedCheckpointAt = TimePoint::max();
        run.ownCheckpointAt = now + ownCheckpointInterval();
    }

    void endRun(const std::string &task, Run &run, const std::string &state,
                const std::string &reason)
    {
        if (!run.isLive)
            return;
        run.isLive = false;
        run.state = state;
        run.reason = reason;
        logInterval("end", task, run.attempt, state);
    }

    void logInterval(const char *event, const std::string &task, std::uint32_t attempt,
                     const std::string &state)
    {
        if (!intervals_)
            return;
        fmt::print(intervals_.get(), "{} {} {} {} {} {}\n", event, task, attempt,
                   loop_.clock().now().time_since_epoch().count(), getpid(), state);
        std::fflush(intervals_.get());
    }

    EventLoop &loop_;
    HttpServer server_;
    Timer timer_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint32_t> stoppedAttempts_;
    std::unique_ptr<std::FILE, CloseFile> intervals_;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    Worker worker(loop);
    const auto address = worker.listen();
    if (!address) {
        fmt::print(stderr, "{}\n", address.error().text());
        return 1;
    }
    fmt::print(stderr, "ready {}\n", *address);
    loop.run();
    return 0;
}
