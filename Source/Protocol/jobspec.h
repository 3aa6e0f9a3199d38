#pragma once

#include "Protocol/fields.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Oleander {

/** One step of a job: \a count tasks of the same kind. */
struct StepSpec
{
    std::uint32_t count = 1;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;
    /** Rough length of one task, as the client declares it. */
    std::uint32_t estimateMs = 0;
    /** Numbers of earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /** Copies of a task may run in parallel; the first to finish counts. */
    bool speculative = false;
    /** The tasks run until the job is cancelled. */
    bool lasting = false;
    /** The tasks take processor time that others leave, which the ledger does not count. */
    bool filling = false;
    /** Most tasks of the step on one minion; 0 for no limit. */
    std::uint32_t maxPerMinion = 0;
    /** Most tasks of a lasting step that the system may take away at the same time; 0 for no limit.
     */
    std::uint32_t maxUnavailable = 0;
    /** Bound of the tail latency of a lasting task; 0 for none. */
    std::uint32_t targetLatencyMs = 0;
    /** Label that the minion must have; empty for any. */
    std::string requiredLabel;
    /** Rack that holds the data; empty for any. */
    std::string affinity;
    /** Name of what the tasks run. */
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
    f(v.lasting);
    f(v.filling);
    f(v.maxPerMinion);
    f(v.maxUnavailable);
    f(v.targetLatencyMs);
    f(v.requiredLabel);
    f(v.affinity);
    f(v.image);
}

/** Names one task of a job. */
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

/** One life of a minion: its name and the calendar time of its start in milliseconds. */
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

/** A job as a client hands it in. */
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

/** One queue: where its jobs come in and how they are served. */
struct QueueSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /** Objective of a job: this many thousandths of its longest chain of work. */
    std::uint32_t stretchThousandths = 1000;
    /** Added to the objective. */
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

/** One version of the queues, with the document that the operator sent. */
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

/** State of a job as its client sees it. */
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

} // namespace Oleander
