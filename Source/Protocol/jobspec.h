#pragma once

#include "Protocol/fields.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Oleander {

/** One step of a job: \a count identical tasks. */
struct StepSpec
{
    std::uint32_t count = 1;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;
    /** Estimated run time of one task, as declared by the client. */
    std::uint32_t estimateMs = 0;
    /** Indices of earlier steps that must be completed first. */
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /** Copies of a task may run in parallel; the first to finish counts. */
    bool speculative = false;
    /** Long-running service: its tasks run until the job is cancelled. */
    bool longRunning = false;
    /**
     * Best-effort work: its tasks use only processor time that other tasks leave idle, which is not
     * counted in the capacity ledger.
     */
    bool filling = false;
    /** Maximum number of tasks of the step on one minion; 0 for no limit. */
    std::uint32_t maxPerMinion = 0;
    /**
     * Maximum number of tasks of a long-running step that the system may have evicted at the same
     * time; 0 for no limit.
     */
    std::uint32_t maxUnavailable = 0;
    /** Upper bound for the tail latency of a long-running task; 0 for none. */
    std::uint32_t targetLatencyMs = 0;
    /** Label that the minion must have; empty for any. */
    std::string requiredLabel;
    /** Rack that holds the data of the tasks; empty for no preference. */
    std::string affinity;
    /** Name of the image that the tasks run. */
    std::string image;
};

template<typename F>
void visitFields(F &&f, Fields<StepSpec> auto &&v)
{
    f(v.count);
    f(v.milliCores);
    f(v.memoryMiB);
    f(v.accelerators);
    f(v.estimateMs);
    f(v.dependsOn);
    f(v.checkpointing);
    f(v.speculative);
    f(v.longRunning);
    f(v.filling);
    f(v.maxPerMinion);
    f(v.maxUnavailable);
    f(v.targetLatencyMs);
    f(v.requiredLabel);
    f(v.affinity);
    f(v.image);
}

/** Identifies one task of a job. */
struct TaskRef
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(job, step, index) < std::tie(other.job, other.step, other.index);
    }
};

template<typename F>
void visitFields(F &&f, Fields<TaskRef> auto &&v)
{
    f(v.job);
    f(v.step);
    f(v.index);
}

/** One instance of a minion: its name and its wall-clock start time in milliseconds. */
struct MinionLife
{
    std::string name;
    std::uint64_t bornMs = 0;

    bool operator==(const MinionLife &) const = default;
    bool operator<(const MinionLife &other) const
    {
        return std::tie(name, bornMs) < std::tie(other.name, other.bornMs);
    }
};

template<typename F>
void visitFields(F &&f, Fields<MinionLife> auto &&v)
{
    f(v.name);
    f(v.bornMs);
}

/** A job as submitted by a client. */
struct JobSubmission
{
    std::string id;
    std::string spec;
    std::vector<StepSpec> steps;
};

template<typename F>
void visitFields(F &&f, Fields<JobSubmission> auto &&v)
{
    f(v.id);
    f(v.spec);
    f(v.steps);
}

/** One queue: where its jobs are submitted and how they are scheduled. */
struct QueueSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /** Target completion time of a job as a multiple, in thousandths, of its critical path. */
    std::uint32_t stretchThousandths = 1000;
    /** Constant that is added to the target completion time. */
    std::uint32_t targetCompletionMs = 0;

    bool operator==(const QueueSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<QueueSpec> auto &&v)
{
    f(v.name);
    f(v.host);
    f(v.pathPrefix);
    f(v.service);
    f(v.priority);
    f(v.maxAttempts);
    f(v.stretchThousandths);
    f(v.targetCompletionMs);
}

/** One version of the queue configuration, with the document from which it was parsed. */
struct QueueConfiguration
{
    std::uint64_t version = 0;
    std::string document;
    std::vector<QueueSpec> queues;
};

template<typename F>
void visitFields(F &&f, Fields<QueueConfiguration> auto &&v)
{
    f(v.version);
    f(v.document);
    f(v.queues);
}

/** State of a job as reported to its client. */
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

} // namespace Oleander
