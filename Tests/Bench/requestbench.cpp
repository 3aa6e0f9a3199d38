// Measures the request path with real processes: one entry, one agent and one stand-in minion.
// Added latency and throughput compare calls through the entry with direct calls to the same
// stand-in, in alternating rounds of one run.

#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"
#include "Support/cluster.h"
#include "Support/httpcall.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

constexpr int Slots = 8;
constexpr int DelayMs = 5;
constexpr Duration CapacityTime = std::chrono::seconds(2);
constexpr int LatencyRounds = 3;
constexpr Duration LatencyRoundTime = std::chrono::seconds(3);
constexpr int ThroughputRounds = 3;
constexpr Duration ThroughputRoundTime = std::chrono::seconds(3);
constexpr std::size_t ThroughputConcurrency = 32;
constexpr Duration GoodputTime = std::chrono::seconds(5);
constexpr Duration GoodputTimeout = std::chrono::milliseconds(500);
constexpr Duration CallTimeout = std::chrono::seconds(10);
constexpr std::size_t MaxConnections = 1000;
constexpr Duration ArrivalTick = std::chrono::milliseconds(1);
constexpr Duration Warmup = std::chrono::seconds(1);

struct Load
{
    std::string address;
    std::string path;
    Duration time{};
    /** Arrivals per second (open loop); 0 keeps \a concurrency calls open (closed loop). */
    double rate = 0.0;
    std::size_t concurrency = 0;
    Duration timeout = CallTimeout;
};

struct Outcomes
{
    std::vector<Duration> latencies;
    std::size_t succeeded = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    double seconds = 0.0;
};

/** Generates one load for one address, on its own event loop. */
class LoadGenerator
{
public:
    explicit LoadGenerator(Load load)
        : load_(std::move(load))
        , client_(loop_, load_.address, MaxConnections)
        , arrivalTimer_(loop_, [this] { startDueCalls(); })
        , endTimer_(loop_, [this] { stopCalling(); })
    {}

    Outcomes run()
    {
        start_ = loop_.clock().now();
        endTimer_.startOnce(load_.time);
        if (load_.rate > 0.0)
            arrivalTimer_.startEvery(ArrivalTick);
        for (std::size_t i = 0; i < load_.concurrency; ++i)
            call();
        loop_.run();
        outcomes_.seconds = std::chrono::duration<double>(load_.time).count();
        return std::move(outcomes_);
    }

private:
    void startDueCalls()
    {
        const std::chrono::duration<double> elapsed = loop_.clock().now() - start_;
        for (; static_cast<double>(startedCalls_) < load_.rate * elapsed.count(); ++startedCalls_)
            call();
    }

    void call()
    {
        HttpRequest request;
        request.method = "GET";
        request.path = load_.path;
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(load_.timeout);
        request.headers.push_back({"Oleander-Timeout-Ms", std::to_string(milliseconds.count())});
        const TimePoint begun = loop_.clock().now();
        ++openCalls_;
        client_.call(std::move(request), load_.timeout * 2,
                     [this, begun](const HttpCallResult &result) {
                         onReply(loop_.clock().now() - begun, result);
                     });
    }

    void onReply(Duration latency, const HttpCallResult &result)
    {
        --openCalls_;
        if (!result)
            ++outcomes_.failed;
        else if (result->status != 200)
            ++outcomes_.refused;
        else if (!isEnding_ && latency <= load_.timeout)
            addLatency(latency);
        if (isEnding_ && openCalls_ == 0)
            loop_.stop();
        if (!isEnding_ && load_.concurrency > 0)
            call();
    }

    void addLatency(Duration latency)
    {
        ++outcomes_.succeeded;
        outcomes_.latencies.push_back(latency);
    }

    void stopCalling()
    {
        isEnding_ = true;
        arrivalTimer_.cancel();
        if (openCalls_ == 0)
            loop_.stop();
    }

    Load load_;
    EventLoop loop_;
    HttpClient client_;
    Timer arrivalTimer_;
    Timer endTimer_;
    Outcomes outcomes_;
    TimePoint start_{};
    std::size_t startedCalls_ = 0;
    std::size_t openCalls_ = 0;
    bool isEnding_ = false;
};

Outcomes runLoad(Load load)
{
    return LoadGenerator(std::move(load)).run();
}

void addOutcomes(Outcomes &sum, Outcomes added)
{
    sum.latencies.insert(sum.latencies.end(), added.latencies.begin(), added.latencies.end());
    sum.succeeded += added.succeeded;
    sum.refused += added.refused;
    sum.failed += added.failed;
    sum.seconds += added.seconds;
}

double milliseconds(std::vector<Duration> latencies, double quantile)
{
    if (latencies.empty())
        return 0.0;
    std::sort(latencies.begin(), latencies.end());
    const auto at = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1));
    return std::chrono::duration<double, std::milli>(latencies[at]).count();
}

double perSecond(const Outcomes &outcomes)
{
    return static_cast<double>(outcomes.succeeded) / outcomes.seconds;
}

void printFigure(const std::string &name, double value, const std::string &unit,
                 const std::string &bound)
{
    fmt::print("figure {} {:.3f} {} target {}\n", name, value, unit, bound);
    std::fflush(stdout);
}

void printSummary(const std::string &what, const Outcomes &outcomes)
{
    fmt::print(stderr,
               "# {}: {:.0f}/s succeeded, {} refused, {} failed, p50 {:.3f} ms, p99 {:.3f} ms\n",
               what, perSecond(outcomes), outcomes.refused, outcomes.failed,
               milliseconds(outcomes.latencies, 0.5), milliseconds(outcomes.latencies, 0.99));
}

/** One entry, one agent and one minion that is ready to answer through the entry. */
class Bench
{
public:
    explicit Bench(std::vector<std::string> minionFlags) : cluster_(options(std::move(minionFlags)))
    {
        isReady_ = cluster_.start() && waitFor([this] {
                       const auto reply = httpCall(cluster_.callerDoor(0), {"GET", "/notices/x"});
                       return reply && reply->status == 200;
                   });
    }

    bool isReady() const { return isReady_; }
    Load direct() const { return {cluster_.minionAddress(0), "/x"}; }
    Load through() const { return {cluster_.callerDoor(0), "/notices/x"}; }

private:
    static ClusterOptions options(std::vector<std::string> minionFlags)
    {
        ClusterOptions options;
        options.entries = 1;
        options.agents = 1;
        options.workers = false;
        options.minions = true;
        options.minionFlags = std::move(minionFlags);
        return options;
    }

    Cluster cluster_;
    bool isReady_ = false;
};

/** Requests per second that the minion answers when all of its slots are busy. */
double capacity(Load direct)
{
    direct.time = CapacityTime;
    direct.concurrency = Slots;
    const Outcomes outcomes = runLoad(std::move(direct));
    printSummary("capacity, direct", outcomes);
    return perSecond(outcomes);
}

bool measureAddedLatency()
{
    Bench bench({fmt::format("--slots={}", Slots), fmt::format("--delay-ms={}", DelayMs)});
    if (!bench.isReady())
        return false;
    Outcomes direct;
    Outcomes through;
    const double rate = capacity(bench.direct()) / 2;
    const auto round = [rate](Load load, Duration time) {
        load.time = time;
        load.rate = rate;
        return runLoad(std::move(load));
    };
    round(bench.through(), Warmup);
    for (int i = 0; i < LatencyRounds; ++i) {
        addOutcomes(direct, round(bench.direct(), LatencyRoundTime));
        addOutcomes(through, round(bench.through(), LatencyRoundTime));
    }
    printSummary("half capacity, direct", direct);
    printSummary("half capacity, through entry and agent", through);
    const auto added = [&](double quantile) {
        return milliseconds(through.latencies, quantile) - milliseconds(direct.latencies, quantile);
    };
    printFigure("request.added_p50", added(0.5), "ms", "<=0.5");
    printFigure("request.added_p99", added(0.99), "ms", "<=2");
    return true;
}

bool measureThroughput()
{
    Bench bench({"--slots=64", "--connections=256"});
    if (!bench.isReady())
        return false;
    Outcomes direct;
    Outcomes through;
    const auto round = [](Load load, Duration time) {
        load.time = time;
        load.concurrency = ThroughputConcurrency;
        return runLoad(std::move(load));
    };
    round(bench.through(), Warmup);
    for (int i = 0; i < ThroughputRounds; ++i) {
        addOutcomes(direct, round(bench.direct(), ThroughputRoundTime));
        addOutcomes(through, round(bench.through(), ThroughputRoundTime));
    }
    printSummary("32 concurrent, direct", direct);
    printSummary("32 concurrent, through entry and agent", through);
    printFigure("request.throughput_ratio", perSecond(through) / perSecond(direct), "ratio",
                ">=0.5");
    return true;
}

bool measureGoodput()
{
    Bench bench({fmt::format("--slots={}", Slots), fmt::format("--delay-ms={}", DelayMs)});
    if (!bench.isReady())
        return false;
    const double rate = capacity(bench.direct());
    const auto runAtShare = [&](double share) {
        Load load = bench.through();
        load.time = GoodputTime;
        load.timeout = GoodputTimeout;
        load.rate = rate * share;
        return runLoad(std::move(load));
    };
    runAtShare(0.5);
    const Outcomes atCapacity = runAtShare(1.0);
    const Outcomes atTwiceCapacity = runAtShare(2.0);
    printSummary("at capacity", atCapacity);
    printSummary("at twice the capacity", atTwiceCapacity);
    printFigure("request.goodput_ratio", perSecond(atTwiceCapacity) / perSecond(atCapacity),
                "ratio", ">=0.9");
    return true;
}

} // namespace

int main()
{
    const bool measured = measureAddedLatency() && measureThroughput() && measureGoodput();
    if (!measured)
        fmt::print(stderr, "# the processes did not become ready\n");
    return measured ? 0 : 1;
}
