#include "Soak/soakrun.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <limits>
#include <sstream>

namespace Oleander::Testing {

namespace {

constexpr auto Running = std::numeric_limits<SoakTime>::max();
/** If no calls are completed for so long, as with all entries frozen, the plan goes on. */
constexpr std::chrono::seconds StandstillLimit(3);
const std::string Intervals = "intervals";
const std::string Runs = "runs";

double secondsSince(SoakTime begin)
{
    return static_cast<double>(soakNow() - begin) / 1e6;
}

std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(name.rfind('-') + 1)) - 1;
}

std::string contentOf(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/** Microseconds on the clock of the runtime, which the stand-in workers write. */
std::int64_t runtimeNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::int64_t(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

/** The segment that an entry writes to; empty if there is none. */
std::filesystem::path lastSegment(const std::filesystem::path &dataFolder)
{
    std::filesystem::path last;
    unsigned long lastNumber = 0;
    for (const auto &file : std::filesystem::directory_iterator(dataFolder / "log")) {
        const auto name = file.path().filename().string();
        if (!name.starts_with("segment-"))
            continue;
        const auto number = std::stoul(name.substr(name.find('-') + 1));
        if (last.empty() || number > lastNumber) {
            last = file.path();
            lastNumber = number;
        }
    }
    return last;
}

/** Appends \a count bytes that are no whole record, as after a write that a crash cut short. */
void appendTornBytes(const std::filesystem::path &segment, std::uint64_t seed, std::uint64_t count)
{
    if (segment.empty())
        return;
    SoakRandom random(seed);
    std::ofstream file(segment, std::ios::binary | std::ios::app);
    for (std::uint64_t written = 0; written < count; ++written)
        file.put(static_cast<char>(random.between(0, 255)));
}

RunCounts readRuns(const std::filesystem::path &file)
{
    RunCounts runs;
    std::ifstream lines(file);
    for (std::string id; std::getline(lines, id);)
        ++runs[id];
    return runs;
}

bool isProcessFault(FaultKind kind)
{
    return kind == FaultKind::Stop || kind == FaultKind::Kill || kind == FaultKind::HangUp
           || kind == FaultKind::TornLog || kind == FaultKind::Freeze;
}

} // namespace

std::string SoakResult::text(std::uint64_t seed) const
{
    return fmt::format("seed {}: {}, {:.1f} s, {} of {} calls answered, {} changes, back in {:.1f} "
                       "s, jobs done in {:.1f} s",
                       seed,
                       violations.empty()
                           ? std::string("passed")
                           : fmt::format("FAILED ({} violations)", violations.size()),
                       seconds, answered, calls, changes, serviceSeconds, jobsSeconds);
}

SoakRun::SoakRun(SoakPlan plan, std::filesystem::path logs)
    : plan_(std::move(plan)), logs_(std::move(logs)), cluster_(clusterOptions(plan_, logs_))
{}

ClusterOptions SoakRun::clusterOptions(const SoakPlan &plan, const std::filesystem::path &logs)
{
    std::filesystem::create_directories(logs);
    ClusterOptions options;
    options.entries = plan.entries;
    options.agents = plan.agents;
    options.minions = true;
    options.forwardLinks = true;
    options.workerFlags = {"--intervals=" + (logs / Intervals).string()};
    options.minionFlags = {"--runs=" + (logs / Runs).string()};
    return options;
}

SoakResult SoakRun::run()
{
    const auto begin = soakNow();
    std::ofstream(logFile("plan")) << plan_.text();
    if (cluster_.start()) {
        awaitReady();
        std::vector<SoakDoor> doors;
        for (std::size_t entry = 0; entry < plan_.entries; ++entry)
            doors.push_back({fmt::format("entry-{}", entry + 1), cluster_.callerDoor(entry)});
        callers_ = std::make_unique<Callers>(plan_, std::move(doors));
        operators_ =
            std::make_unique<Operators>(plan_, cluster_, [this] { return position_.load(); });
        playFaults();
        awaitService();
        for (const auto &name : processNames())
            reportIfEnded(name);
        check();
    } else {
        result_.violations.emplace_back("the cluster did not start");
    }
    for (const auto &name : processNames())
        keepOutput(name);
    result_.seconds = secondsSince(begin);
    std::ofstream(logFile("violations")) << fmt::format("{}\n", result_.text(plan_.seed));
    std::ofstream violations(logFile("violations"), std::ios::app);
    for (const auto &violation : result_.violations)
        violations << violation << '\n';
    return result_;
}

std::vector<std::string> SoakRun::processNames() const
{
    std::vector<std::string> names;
    for (std::size_t entry = 1; entry <= plan_.entries; ++entry)
        names.push_back(fmt::format("entry-{}", entry));
    for (std::size_t agent = 1; agent <= plan_.agents; ++agent) {
        for (const char *kind : {"agent", "worker", "minion"})
            names.push_back(fmt::format("{}-{}", kind, agent));
    }
    return names;
}

bool SoakRun::servesAt(std::size_t entry) const
{
    const auto reply = httpCall(cluster_.callerDoor(entry), {"GET", "/notices/ready", {}, {}});
    return reply && reply->status == 200;
}

void SoakRun::awaitReady()
{
    for (std::size_t entry = 0; entry < plan_.entries; ++entry) {
        if (!waitFor([&] { return servesAt(entry); })) {
            result_.violations.push_back(
                fmt::format("entry-{} did not serve before the first fault", entry + 1));
        }
    }
}

void SoakRun::awaitPosition(std::uint64_t position)
{
    const auto last = position_.load();
    const auto first = callers_->completed();
    for (auto seen = first; position_ < position;) {
        // Calls that were completed while a stopped process was waited for do not count.
        if (!waitFor([&] { return callers_->completed() > seen; }, StandstillLimit))
            break;
        seen = callers_->completed();
        position_ = std::min(position, last + (seen - first));
    }
    position_ = position;
}

void SoakRun::playFaults()
{
    struct Event
    {
        std::uint64_t call = 0;
        const Fault *fault = nullptr;
        bool isEnd = false;
    };
    std::vector<Event> events;
    for (const auto &fault : plan_.faults) {
        events.push_back({fault.begin, &fault, false});
        events.push_back({fault.end, &fault, true});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return a.call < b.call; });
    bool isGracefulPart = true;
    std::ofstream log(logFile("faults"));
    for (const auto &event : events) {
        if (isGracefulPart && event.call >= plan_.gracefulCalls) {
            awaitPosition(plan_.gracefulCalls);
            callers_->endGracefulPart();
            isGracefulPart = false;
        }
        awaitPosition(event.call);
        log << fmt::format("{} {} {} {} at call {} of the plan, {} completed\n", std::time(nullptr),
                           event.isEnd ? "end" : "begin", nameIn(FaultKindNames, event.fault->kind),
                           event.fault->target, event.call, callers_->completed())
            << std::flush;
        if (event.isEnd)
            end(*event.fault);
        else
            begin(*event.fault);
    }
}

ChildProcess &SoakRun::process(const std::string &name)
{
    const auto index = indexOf(name);
    if (name.starts_with("entry"))
        return cluster_.entry(index);
    if (name.starts_with("agent"))
        return cluster_.agent(index);
    return name.starts_with("worker") ? cluster_.worker(index) : cluster_.minion(index);
}

void SoakRun::keepOutput(const std::string &name)
{
    std::ofstream(logFile(name), std::ios::app) << process(name).describe() << '\n';
}

void SoakRun::openOutage(const std::string &name, bool graceful)
{
    if (name.starts_with("entry"))
        outages_.push_back({name, soakNow(), Running, graceful});
}

void SoakRun::closeOutage(const std::string &name)
{
    for (auto &outage : outages_) {
        if (outage.entry == name && outage.end == Running)
            outage.end = soakNow();
    }
}

void SoakRun::reportIfEnded(const std::string &name)
{
    if (!process(name).running())
        report({fmt::format("{} ended by itself", name)});
}

void SoakRun::begin(const Fault &fault)
{
    if (isProcessFault(fault.kind))
        reportIfEnded(fault.target);
    switch (fault.kind) {
    case FaultKind::Stop:
        openOutage(fault.target, true);
        process(fault.target).signal(SIGTERM);
        break;
    case FaultKind::Kill:
    case FaultKind::TornLog:
        killProcess(fault);
        break;
    case FaultKind::HangUp:
        openOutage(fault.target, false);
        process(fault.target).signal(SIGHUP);
        break;
    case FaultKind::Freeze:
        process(fault.target).freeze();
        break;
    case FaultKind::Reset:
        cluster_
            .forwarder(fault.target.substr(0, fault.target.find('>')),
                       fault.target.substr(fault.target.find('>') + 1))
            .closeConnections();
        break;
    default:
        linkFaults_[fault.target] = &fault;
        applyLinkFaults();
    }
}

void SoakRun::end(const Fault &fault)
{
    if (!isProcessFault(fault.kind)) {
        linkFaults_.erase(fault.target);
        applyLinkFaults();
        return;
    }
    if (fault.kind == FaultKind::Freeze) {
        process(fault.target).resume();
        return;
    }
    if (fault.kind == FaultKind::Stop)
        awaitStopped(fault.target);
    if (fault.kind == FaultKind::TornLog) {
        appendTornBytes(lastSegment(cluster_.dataFolder(indexOf(fault.target))),
                        plan_.seed + fault.begin, fault.amount);
    }
    if (!process(fault.target).running())
        startProcess(fault.target);
    closeOutage(fault.target);
}

void SoakRun::killProcess(const Fault &fault)
{
    auto &killed = process(fault.target);
    openOutage(fault.target, false);
    const auto time = runtimeNow();
    killed.kill();
    // The tasks of the stand-in worker end with it.
    if (fault.target.starts_with("worker")) {
        std::ofstream(logFile(Intervals), std::ios::app)
            << fmt::format("died - 0 {} {}\n", time, killed.id());
    }
}

void SoakRun::startProcess(const std::string &name)
{
    keepOutput(name);
    const auto index = indexOf(name);
    if (name.starts_with("entry"))
        cluster_.startEntry(index);
    else if (name.starts_with("agent"))
        cluster_.startAgent(index);
    else if (name.starts_with("worker"))
        cluster_.startWorker(index);
    else
        cluster_.startMinion(index);
}

void SoakRun::awaitStopped(const std::string &name)
{
    auto &stopped = process(name);
    const auto end = stopped.wait();
    if (!end) {
        result_.violations.push_back(fmt::format("{} did not end after SIGTERM", name));
        stopped.kill();
    } else if (end->exitCode != 0) {
        result_.violations.push_back(fmt::format("{} ended with code {}, signal {} after SIGTERM",
                                                 name, end->exitCode, end->signal));
    }
}

void SoakRun::applyLinkFaults()
{
    cluster_.heal();
    for (std::size_t entry = 1; entry <= plan_.entries; ++entry) {
        const auto name = fmt::format("entry-{}", entry);
        for (std::size_t agent = 1; agent <= plan_.agents; ++agent) {
            cluster_.forwarder(fmt::format("agent-{}", agent), name).setDelay({});
            cluster_.forwarder("*", fmt::format("agent-{}", agent)).setDelay({});
        }
        for (std::size_t other = 1; other <= plan_.entries; ++other) {
            if (other != entry)
                cluster_.forwarder(name, fmt::format("entry-{}", other)).setDelay({});
        }
    }
    for (const auto &[target, fault] : linkFaults_) {
        if (fault->kind == FaultKind::Isolate) {
            cluster_.isolate(target);
            continue;
        }
        const auto arrow = target.find('>');
        auto &link = cluster_.forwarder(target.substr(0, arrow), target.substr(arrow + 1));
        if (fault->kind == FaultKind::Delay)
            link.setDelay(std::chrono::milliseconds(fault->amount));
        else if (fault->kind == FaultKind::Cut)
            link.cutBothDirections();
        else
            link.cut(fault->kind == FaultKind::CutToTarget ? Direction::ToTarget
                                                           : Direction::FromTarget);
    }
}

void SoakRun::awaitService()
{
    const auto begin = soakNow();
    ServiceState state;
    for (std::size_t entry = 0; entry < plan_.entries; ++entry) {
        if (!waitFor([&] { return servesAt(entry); }))
            state.silentEntries.push_back(fmt::format("entry-{}", entry + 1));
    }
    result_.serviceSeconds = secondsSince(begin);
    callers_->stop();
    operators_->stop();
    waitFor([&] {
        state.jobStates = operators_->jobStates();
        return std::all_of(state.jobStates.begin(), state.jobStates.end(),
                           [](const auto &job) { return job.second == "done"; });
    });
    result_.jobsSeconds = secondsSince(begin);
    report(findMissingService(state));
    if (!waitFor([&] { return operators_->readEverything(); }))
        report({"an entry did not answer reads after the last fault"});
}

void SoakRun::report(const Violations &violations)
{
    result_.violations.insert(result_.violations.end(), violations.begin(), violations.end());
}

void SoakRun::check()
{
    const auto calls = callers_->records();
    const auto runs = readRuns(logFile(Runs));
    result_.calls = calls.size();
    result_.answered = static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const auto &call) { return call.status == 200; }));
    result_.changes = operators_->accepted();
    report(findWrongAnswers(calls));
    report(findUntrueRefusals(calls, runs));
    report(findSecondRuns(calls, runs));
    report(findCutCalls(calls, outages_, runs));
    report(findUnknownOutcomes(calls));
    report(findOverlappingAttempts(contentOf(logFile(Intervals))));
    report(operators_->violations());
    std::ofstream file(logFile("calls"));
    for (const auto &call : calls) {
        file << fmt::format("{} {} {} {}..{} result {} status {} {}{}{}\n", call.id, call.entry,
                            call.idempotent ? "idempotent" : "once", call.begin, call.end,
                            static_cast<int>(call.result), call.status, call.outcome,
                            call.isOwnAnswer ? "" : " wrong",
                            call.inGracefulPart ? " graceful" : "");
    }
}

} // namespace Oleander::Testing
