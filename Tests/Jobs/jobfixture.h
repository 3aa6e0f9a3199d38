#pragma once

#include "Jobs/jobscheduler.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace Oleander::Testing {

using namespace std::chrono_literals;
using namespace Jobs;

/** Configuration with one queue of one service; tasks may fail \a attempts times. */
inline QueueConfiguration oneQueue(std::uint64_t version = 1, std::uint32_t attempts = 2)
{
    QueueSpec queue;
    queue.name = "press";
    queue.host = "press.example";
    queue.pathPrefix = "/press/";
    queue.service = "notices";
    queue.maxAttempts = attempts;
    queue.stretchThousandths = 2000;
    queue.targetCompletionMs = 500;
    return {version, "document " + std::to_string(version), {queue}};
}

inline StepSpec step(std::uint32_t count, std::uint32_t milliCores = 1000,
                     std::vector<std::uint32_t> dependsOn = {})
{
    StepSpec spec;
    spec.count = count;
    spec.milliCores = milliCores;
    spec.memoryMiB = 100;
    spec.estimateMs = 1000;
    spec.dependsOn = std::move(dependsOn);
    return spec;
}

/** A job book with one queue, with helpers for the common commands. */
struct BookFixture
{
    JobBook book;
    std::int64_t nowMs = 1'000'000;

    BookFixture() { book.apply(Configure{oneQueue()}); }

    JobOutcome apply(JobBatch batch)
    {
        batch.atMs = nowMs;
        return book.apply(std::move(batch));
    }
    void submit(const std::string &id, std::vector<StepSpec> steps)
    {
        JobBatch batch;
        batch.submissions.push_back({"press", {id, "spec of " + id, std::move(steps)}});
        apply(std::move(batch));
    }
    void cancel(const std::string &id)
    {
        JobBatch batch;
        batch.cancellations.push_back(id);
        apply(std::move(batch));
    }
    bool start(const TaskRef &task, std::uint32_t run, const MinionLife &life)
    {
        JobBatch batch;
        batch.starts.push_back({task, run, life});
        return apply(std::move(batch)).started.at(0);
    }
    void end(const TaskRef &task, std::uint32_t run, const MinionLife &life, RunEndKind kind,
             std::string checkpoint = {})
    {
        JobBatch batch;
        batch.ends.push_back({life, {1, task, run, kind, std::move(checkpoint)}});
        apply(std::move(batch));
    }
    /** Ends a run as end() does; the end counts although the run is no longer active. */
    void endLate(const TaskRef &task, std::uint32_t run, const MinionLife &life, RunEndKind kind,
                 std::string checkpoint = {})
    {
        JobBatch batch;
        batch.ends.push_back({life, {1, task, run, kind, std::move(checkpoint)}});
        batch.ends.back().countsWhenLate = true;
        apply(std::move(batch));
    }
    JobState state(const std::string &id) const { return book.find(id)->state; }
};

inline const MinionLife LifeA{"minion-a", 100};
inline const MinionLife LifeB{"minion-b", 100};

/** Report of \a life with the time \a clockMs on its clock. */
inline MachineReport reportOf(const MinionLife &life, std::uint64_t clockMs,
                              std::uint32_t milliCores = 8'000)
{
    MachineReport report;
    report.sequence = clockMs;
    report.hasMinion = true;
    report.minion.life = life;
    report.minion.service = "notices";
    report.minion.milliCores = milliCores;
    report.minion.memoryMiB = 8'000;
    report.minionClockMs = clockMs;
    report.hasRunList = true;
    return report;
}

/** Scheduler of a leader whose batches are committed at once. */
struct SchedulerFixture : BookFixture
{
    static constexpr std::uint64_t FirstTerm = 3;

    ManualClock clock;
    JobScheduler scheduler;

    explicit SchedulerFixture(SchedulerOptions options = {})
        : scheduler(book, LeaseOptions{}, options)
    {
        scheduler.startTerm(clock.now(), FirstTerm);
    }

    void advance(Duration step)
    {
        clock.advance(step);
        nowMs += std::chrono::duration_cast<std::chrono::milliseconds>(step).count();
    }
    /** Commits the pending ends, or the starts if there are none; returns the committed batch. */
    JobBatch decide()
    {
        auto ends = scheduler.takeEnds(clock.now(), nowMs);
        if (!ends.batch.empty()) {
            apply(ends.batch);
            scheduler.endsCommitted(ends.acknowledgements);
            return ends.batch;
        }
        JobBatch batch = scheduler.takeStarts(clock.now(), nowMs);
        if (!batch.empty()) {
            apply(batch);
            scheduler.startsResolved();
        }
        return batch;
    }
    void report(const std::string &agent, const MachineReport &report)
    {
        scheduler.report(clock.now(), nowMs, agent, report);
    }
    /** Takes the directives and returns the one for \a agent, or an empty one. */
    MachineDirective directive(const std::string &agent)
    {
        for (AddressedDirective &addressed : scheduler.takeDirectives(clock.now(), nowMs)) {
            if (addressed.agent == agent)
                return addressed.directive;
        }
        return {};
    }
};

} // namespace Oleander::Testing
