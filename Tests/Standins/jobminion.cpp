// Stand-in for a minion of the users' platform: announces itself to the agent on its host, starts
// and stops runs on request, and finishes each run after --run_ms milliseconds. Runs of a task
// whose spec begins with "fail" fail. GET /standin/starts returns a line "TASK RUN" for each start,
// and POST /standin/finish finishes all runs at the same moment.

#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ADDRESS:PORT at which it takes calls");
ABSL_FLAG(std::string, agent, "", "ADDRESS:PORT of the agent's minion door");
ABSL_FLAG(std::string, name, "i-1", "id of this minion");
ABSL_FLAG(std::string, service, "notices", "service that it belongs to");
ABSL_FLAG(int, milli_cores, 8000, "capacity");
ABSL_FLAG(int, run_ms, 100, "time that a run takes");
ABSL_FLAG(int, beat_ms, 200, "time between two announcements");

using namespace Oleander;

namespace {

using Json = nlohmann::json;

constexpr Duration RunTimerInterval = std::chrono::milliseconds(5);
constexpr Duration CallTimeout = std::chrono::seconds(1);
constexpr std::uint64_t MemoryMb = 32'000;
/** Limit of the ends in one answer; the platform's minions list the earliest ones. */
constexpr std::size_t MaxListedEnds = 500;

class JobMinion
{
public:
    JobMinion()
        : server_(loop_, HttpLimits{},
                  [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
        , client_(loop_, absl::GetFlag(FLAGS_agent), 1)
        , runTimer_(loop_, [this] { advanceRuns(); })
        , announceTimer_(loop_, [this] { announce(); })
        , incarnation_(
              static_cast<std::uint64_t>(loop_.clock().wallNow().time_since_epoch().count()))
        , startTime_(loop_.clock().now())
    {}

    int run()
    {
        if (!server_.listen(absl::GetFlag(FLAGS_listen)))
            return 1;
        loop_.onSignal(SIGTERM, [this] { loop_.stop(); });
        runTimer_.startEvery(RunTimerInterval);
        announceTimer_.startEvery(std::chrono::milliseconds(absl::GetFlag(FLAGS_beat_ms)));
        announce();
        loop_.run();
        return 0;
    }

private:
    struct Run
    {
        std::string task;
        std::uint64_t run = 0;
        std::string spec;
        TimePoint endsAt;
    };

    std::uint64_t clockMs() const
    {
        return static_cast<std::uint64_t>((loop_.clock().now() - startTime_).count()) / 1000 + 1;
    }

    void announce()
    {
        HttpRequest request;
        request.method = "PUT";
        request.path = "/oleanderusher/instances/" + absl::GetFlag(FLAGS_name);
        request.body = Json{
            {"service", absl::GetFlag(FLAGS_service)},
            {"address", absl::GetFlag(FLAGS_listen)},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity",
             {{"cpu", absl::GetFlag(FLAGS_milli_cores)}, {"memMb", MemoryMb}, {"gpu", 0}}},
            {"labels", Json::array({"a", "r1"})},
            {"clockMs", clockMs()},
            {"born", incarnation_},
            {"sequence",
             ++sequence_}}.dump();
        client_.call(std::move(request), CallTimeout, [](const HttpCallResult &) {});
    }

    void advanceRuns()
    {
        const TimePoint now = loop_.clock().now();
        const bool isDeadlineOver = deadlineMs_ > 0 && clockMs() > deadlineMs_;
        for (auto it = running_.begin(); it != running_.end();) {
            if (!isDeadlineOver && now < it->endsAt) {
                ++it;
                continue;
            }
            const char *outcome = isDeadlineOver                 ? "lapsed"
                                  : it->spec.starts_with("fail") ? "failed"
                                                                 : "done";
            finish(*it, outcome);
            it = running_.erase(it);
        }
        if (heldExchange_ && (!finished_.empty() || now >= heldUntil_))
            std::exchange(heldExchange_, nullptr)->respond(answer(200, runLists()));
    }

    void finish(const Run &run, const char *outcome)
    {
        finished_.push_back(Json::array({++lastFinishedNumber_, run.task, run.run, outcome, ""}));
        highestRuns_[run.task] = std::max(highestRuns_[run.task], run.run);
    }

    Json runLists() const
    {
        Json running = Json::array();
        for (const Run &run : running_)
            running.push_back(Json::array({run.task, run.run, "", 50, 0}));
        Json finished = Json::array();
        for (std::size_t i = 0; i < std::min(finished_.size(), MaxListedEnds); ++i)
            finished.push_back(finished_[i]);
        return {{"clockMs", clockMs()},
                {"born", incarnation_},
                {"running", running},
                {"finished", finished}};
    }

    HttpResponse answer(unsigned status, Json body) const
    {
        body["clockMs"] = clockMs();
        return {status, {{"Content-Type", "application/json"}}, body.dump()};
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::string &path = exchange->request().path;
        if (path == "/standin/starts")
            return exchange->respond({200, {}, startLog_});
        if (path == "/standin/finish") {
            for (Run &run : running_)
                run.endsAt = loop_.clock().now();
            return exchange->respond({200, {}, {}});
        }
        const Json body = Json::parse(exchange->request().body, nullptr, false);
        if (!body.is_object())
            return exchange->respond(answer(400, Json::object()));
        const std::uint64_t fence = body.value("fence", std::uint64_t(0));
        if (fence < fence_)
            return exchange->respond(answer(409, {{"reason", "fence"}}));
        fence_ = fence;
        if (path.ends_with("run-start"))
            exchange->respond(start(body));
        else if (path.ends_with("run-stop"))
            exchange->respond(stop(body));
        else if (path.ends_with("hold"))
            holdExchange(exchange, body);
        else
            exchange->respond(answer(200, Json::object()));
    }

    HttpResponse start(const Json &body)
    {
        const std::string task = body["task"];
        const std::uint64_t run = body["run"];
        deadlineMs_ = std::max(deadlineMs_, body.value("deadlineMs", std::uint64_t(0)));
        const auto isSameRun = [&](const Run &other) {
            return other.task == task && other.run == run;
        };
        if (std::ranges::any_of(running_, isSameRun))
            return answer(200, Json::object());
        if (highestRuns_.contains(task) && run <= highestRuns_[task])
            return answer(409, {{"reason", "old"}});
        startLog_ += task + " " + std::to_string(run) + "\n";
        const auto time = std::chrono::milliseconds(absl::GetFlag(FLAGS_run_ms));
        running_.push_back({task, run, body["spec"], loop_.clock().now() + time});
        return answer(200, Json::object());
    }

    HttpResponse stop(const Json &body)
    {
        const std::string task = body["task"];
        const std::uint64_t run = body["run"];
        highestRuns_[task] = std::max(highestRuns_[task], run);
        for (auto it = running_.begin(); it != running_.end(); ++it) {
            if (it->task != task || it->run != run)
                continue;
            finish(*it, "stopped");
            running_.erase(it);
            break;
        }
        return answer(200, Json::object());
    }

    void holdExchange(const std::shared_ptr<HttpExchange> &exchange, const Json &body)
    {
        const std::uint64_t cursor = body.value("ackCursor", std::uint64_t(0));
        deadlineMs_ = std::max(deadlineMs_, body.value("deadlineMs", std::uint64_t(0)));
        std::erase_if(finished_, [&](const Json &row) { return row[0] <= cursor; });
        const auto wait = std::chrono::milliseconds(body.value("waitMs", 0));
        if (wait.count() == 0 || !finished_.empty())
            return exchange->respond(answer(200, runLists()));
        if (heldExchange_)
            heldExchange_->respond(answer(200, runLists()));
        heldExchange_ = exchange;
        heldUntil_ = loop_.clock().now() + wait;
    }

    EventLoop loop_;
    HttpServer server_;
    HttpClient client_;
    Timer runTimer_;
    Timer announceTimer_;
    std::uint64_t incarnation_;
    TimePoint startTime_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t deadlineMs_ = 0;
    std::uint64_t lastFinishedNumber_ = 0;
    std::vector<Run> running_;
    std::vector<Json> finished_;
    std::map<std::string, std::uint64_t> highestRuns_;
    std::string startLog_;
    std::shared_ptr<HttpExchange> heldExchange_;
    TimePoint heldUntil_;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    JobMinion minion;
    return minion.run();
}
