#pragma once

#include "Protocol/jobspec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** How a run of a task ended. */
enum class RunEndKind {
    Done,
    Failed,
    Stopped,
    /** The lease of the minion ended. */
    Lapsed,
    /** The minion is gone, or its lease surely ended. */
    Lost,
    /** The minion refused to start it. */
    Refused,
};

/** One run as a minion lists it. */
struct RunStatus
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /** Progress of 0 to 100. */
    std::uint32_t percent = 0;
    /** Tail latency in milliseconds of a lasting task, else the milli-cores in use. */
    std::uint32_t latencyOrMilliCores = 0;
    /** True when the agent knows the order that started it. */
    bool hasStartOrder = false;
};

template<typename F>
void visitFields(F &&f, Fields<RunStatus> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.checkpoint);
    f(v.percent);
    f(v.latencyOrMilliCores);
    f(v.hasStartOrder);
}

/** One ended run as a minion lists it until the end is acknowledged. */
struct RunEnd
{
    /** Number of the end within the life of the minion; 0 for an end that no minion listed. */
    std::uint64_t number = 0;
    TaskRef task;
    std::uint32_t run = 0;
    RunEndKind kind = RunEndKind::Lost;
    std::string checkpoint;
};

template<typename F>
void visitFields(F &&f, Fields<RunEnd> auto &&v)
{
    f(v.number);
    f(v.task);
    f(v.run);
    f(v.kind);
    f(v.checkpoint);
}

/** What a minion says of itself, with what its agent knows of it. */
struct MinionReport
{
    MinionLife life;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;
    bool draining = false;
    /** False while the calls of the agent to the minion fail. */
    bool reachable = true;
};

template<typename F>
void visitFields(F &&f, Fields<MinionReport> auto &&v)
{
    f(v.life);
    f(v.service);
    f(v.zone);
    f(v.labels);
    f(v.milliCores);
    f(v.memoryMiB);
    f(v.accelerators);
    f(v.draining);
    f(v.reachable);
}

/** Agent to leader: the minion of its machine and the runs there. */
struct MachineReport
{
    /** Counts the reports of one agent process. */
    std::uint64_t sequence = 0;
    /** Lives that have surely ended. */
    std::vector<MinionLife> ended;
    /** False while no minion is announced; the fields below are then empty. */
    bool hasMinion = false;
    MinionReport minion;
    /** Latest time on the minion's own clock that the agent has read, in milliseconds. */
    std::uint64_t minionClockMs = 0;
    /** True when \a running is the whole list. */
    bool hasRunList = false;
    std::vector<RunStatus> running;
    /** Ends that the minion lists and that are not acknowledged. */
    std::vector<RunEnd> finished;
    /** Starts that the agent still tries to deliver. */
    std::vector<RunEnd> undelivered;
    /** Starts that the minion refused and never ran. */
    std::vector<RunEnd> refused;
    /** Share of their processor time that the filling runs may use, in percent. */
    std::uint32_t fillingPercent = 100;
};

template<typename F>
void visitFields(F &&f, Fields<MachineReport> auto &&v)
{
    f(v.sequence);
    f(v.ended);
    f(v.hasMinion);
    f(v.minion);
    f(v.minionClockMs);
    f(v.hasRunList);
    f(v.running);
    f(v.finished);
    f(v.undelivered);
    f(v.refused);
    f(v.fillingPercent);
}

/** One run that the minion shall start, with what its agent needs to know for pacing. */
struct StartOrder
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    bool filling = false;
    std::uint32_t targetLatencyMs = 0;
    std::string image;
    std::uint32_t milliCores = 0;
    /** See JobWeight; for a filling run. */
    double weight = 1;
};

template<typename F>
void visitFields(F &&f, Fields<StartOrder> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.spec);
    f(v.checkpoint);
    f(v.filling);
    f(v.targetLatencyMs);
    f(v.image);
    f(v.milliCores);
    f(v.weight);
}

/** One run that the minion shall stop. */
struct StopOrder
{
    TaskRef task;
    std::uint32_t run = 0;
};

template<typename F>
void visitFields(F &&f, Fields<StopOrder> auto &&v)
{
    f(v.task);
    f(v.run);
}

/** How much a core of a filling image presses on a serving one, in parts of its bound. */
struct ImageInterference
{
    std::string filling;
    std::string serving;
    double pressurePerCore = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ImageInterference> auto &&v)
{
    f(v.filling);
    f(v.serving);
    f(v.pressurePerCore);
}

/** What a job can still earn for each core-millisecond of its undone work: filling runs of jobs
 * with a higher one go first. */
struct JobWeight
{
    std::string job;
    double weight = 0;
};

template<typename F>
void visitFields(F &&f, Fields<JobWeight> auto &&v)
{
    f(v.job);
    f(v.weight);
}

/** Pressure of a serving image without filling tasks, in parts of its bound. */
struct ImageBaseline
{
    std::string serving;
    double pressure = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ImageBaseline> auto &&v)
{
    f(v.serving);
    f(v.pressure);
}

/** Leader to control hosts: what it learned, so that the next leader need not learn it again. */
struct LearnedInterference
{
    std::vector<ImageInterference> interference;
    std::vector<ImageBaseline> baselines;
};

template<typename F>
void visitFields(F &&f, Fields<LearnedInterference> auto &&v)
{
    f(v.interference);
    f(v.baselines);
}

/** Leader to agent: orders and the lease for one life of the minion. */
struct MachineDirective
{
    /** Term of the leader; the fence of every call to the minion. */
    std::uint64_t term = 0;
    MinionLife life;
    /** Time on the minion's clock until which its runs may go on, in milliseconds. */
    std::uint64_t holdUntilMs = 0;
    /** Ends up to this number are committed. */
    std::uint64_t acknowledgedEnd = 0;
    /** Refusals and ended lives of the report with this sequence are committed. */
    std::uint64_t acknowledgedReport = 0;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    /** What the leader learned of the images that meet on the minion; empty for no news. */
    std::vector<ImageInterference> interference;
    /** Jobs with filling runs on the minion; empty for no news. */
    std::vector<JobWeight> weights;
};

template<typename F>
void visitFields(F &&f, Fields<MachineDirective> auto &&v)
{
    f(v.term);
    f(v.life);
    f(v.holdUntilMs);
    f(v.acknowledgedEnd);
    f(v.acknowledgedReport);
    f(v.starts);
    f(v.stops);
    f(v.interference);
    f(v.weights);
}

} // namespace Oleander
