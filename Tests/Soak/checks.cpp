#include "Soak/checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <sstream>

namespace Oleander::Testing {

namespace {

int runsOf(const RunCounts &runs, const std::string &id)
{
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second;
}

/** One attempt of a task on a worker, by the clock that the workers share. */
struct Attempt
{
    std::uint32_t number = 0;
    std::string process;
    std::int64_t begin = 0;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
};

using AttemptsByTask = std::map<std::string, std::vector<Attempt>>;

void endAttempt(Attempt &attempt, std::int64_t time)
{
    attempt.end = std::min(attempt.end, std::max(attempt.begin, time));
}

AttemptsByTask readAttempts(const std::string &lines)
{
    AttemptsByTask tasks;
    std::istringstream stream(lines);
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words(line);
        std::string kind;
        std::string task;
        Attempt attempt;
        std::int64_t time = 0;
        if (!(words >> kind >> task >> attempt.number >> time >> attempt.process))
            continue;
        if (kind == "begin") {
            attempt.begin = time;
            tasks[task].push_back(attempt);
            continue;
        }
        for (auto &[name, list] : tasks) {
            for (auto &known : list) {
                const bool isMeant =
                    kind == "died" || (name == task && known.number == attempt.number);
                if (isMeant && known.process == attempt.process)
                    endAttempt(known, time);
            }
        }
    }
    return tasks;
}

} // namespace

SoakTime soakNow()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

Violations findWrongAnswers(const std::vector<CallRecord> &calls)
{
    Violations found;
    for (const auto &call : calls) {
        if (call.result == CallEnd::TimedOut)
            found.push_back(fmt::format("{} at {} was never answered", call.id, call.entry));
        else if (call.result == CallEnd::Answered && !call.isOwnAnswer)
            found.push_back(fmt::format("{} at {} got a wrong answer", call.id, call.entry));
    }
    return found;
}

Violations findUntrueRefusals(const std::vector<CallRecord> &calls, const RunCounts &runs)
{
    Violations found;
    for (const auto &call : calls) {
        if (call.outcome == "not-run" && runsOf(runs, call.id) > 0)
            found.push_back(
                fmt::format("{} at {} was told as not run and ran", call.id, call.entry));
    }
    return found;
}

Violations findSecondRuns(const std::vector<CallRecord> &calls, const RunCounts &runs)
{
    std::map<std::string, int> runsByRequest;
    for (const auto &call : calls) {
        if (!call.idempotent)
            runsByRequest[call.request] += runsOf(runs, call.id);
    }
    Violations found;
    for (const auto &[request, count] : runsByRequest) {
        if (count > 1)
            found.push_back(fmt::format("{} is not idempotent and ran {} times", request, count));
    }
    return found;
}

Violations findCutCalls(const std::vector<CallRecord> &calls, const std::vector<Outage> &outages,
                        const RunCounts &runs)
{
    Violations found;
    for (const auto &call : calls) {
        if (call.result != CallEnd::Cut)
            continue;
        const bool isAllowed =
            std::any_of(outages.begin(), outages.end(), [&](const Outage &outage) {
                if (outage.entry != call.entry || call.end < outage.begin
                    || call.begin > outage.end)
                    return false;
                return !outage.graceful
                       || (call.begin > outage.begin && runsOf(runs, call.id) == 0);
            });
        if (!isAllowed) {
            found.push_back(
                fmt::format("{} was cut off by {}, which was not killed; it ran {} times", call.id,
                            call.entry, runsOf(runs, call.id)));
        }
    }
    return found;
}

Violations findUnknownOutcomes(const std::vector<CallRecord> &calls)
{
    Violations found;
    for (const auto &call : calls) {
        if (call.inGracefulPart && call.outcome == "unknown") {
            found.push_back(fmt::format("{} at {} ended as unknown while processes were only "
                                        "stopped gracefully",
                                        call.id, call.entry));
        }
    }
    return found;
}

Violations findMissingService(const ServiceState &state)
{
    Violations found;
    for (const auto &entry : state.silentEntries)
        found.push_back(fmt::format("{} did not serve again after the last fault", entry));
    for (const auto &[job, jobState] : state.jobStates) {
        if (jobState != "done") {
            found.push_back(fmt::format("{} was accepted and is {} after the last fault", job,
                                        jobState.empty() ? "not answered" : jobState));
        }
    }
    return found;
}

Violations findOverlappingAttempts(const std::string &lines)
{
    Violations found;
    for (auto &[task, attempts] : readAttempts(lines)) {
        for (std::size_t later = 1; later < attempts.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                const auto &a = attempts[earlier];
                const auto &b = attempts[later];
                if (a.begin < b.end && b.begin < a.end) {
                    found.push_back(fmt::format("{}: attempts {} and {} ran at the same time", task,
                                                a.number, b.number));
                }
            }
        }
    }
    return found;
}

void RecordCheck::accept(std::uint64_t revision, const std::string &body)
{
    floor_ = std::max(floor_, revision);
    bodies_[revision] = body;
}

void RecordCheck::read(const std::string &entry, std::uint64_t floor, std::uint64_t revision,
                       const std::string &body)
{
    if (revision < floor) {
        violations_.push_back(fmt::format("{} at {}: revision {} was read after revision {}", name_,
                                          entry, revision, floor));
        return;
    }
    floor_ = std::max(floor_, revision);
    const auto accepted = bodies_.find(revision);
    if (accepted != bodies_.end() && accepted->second != body) {
        violations_.push_back(fmt::format("{} at {}: revision {} was accepted as {} and read as {}",
                                          name_, entry, revision, accepted->second, body));
    }
}

} // namespace Oleander::Testing
