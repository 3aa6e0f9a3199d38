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
    /** The minion ended the run because its lease expired. */
    Lapsed,
    /** The minion is gone or its lease has certainly expired, so the run cannot be active. */
    Lost,
    /** The minion refused to start the run. */
    Refused,
};

/** One active run as reported by its minion. */
struct RunStatus
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /** Progress in percent, 0 to 100. */
    std::uint32_t percent = 0;
    /** Tail latency in milliseconds for a long-running task, processor use in milli-cores
     * otherwise. */
    std::uint32_t latencyOrMilliCores = 0;
    /** True if the agent still has the StartOrder of this run. */
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

/** One ended run; the minion reports it until the end is acknowledged. */
struct RunEnd
{
    /** Sequence number of the end within one MinionLife; 0 for an end not reported by a minion. */
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

/** A minion's announced properties and the state that its agent observed. */
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
    /** False while the agent's calls to the minion fail. */
    bool reachable = true;
    /** Time for which the minion is still cold, so that its tasks run slowly, in milliseconds. */
    std::uint64_t coldRemainingMs = 0;

    /** True if this minion has at least the resources of \a other. */
    bool hasCapacityOf(const MinionReport &other) const
    {
        return milliCores >= other.milliCores && memoryMiB >= other.memoryMiB
               && accelerators >= other.accelerators;
    }
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
    f(v.coldRemainingMs);
}

/** A run that may have crashed its minion. */
struct CrashSuspect
{
    TaskRef task;
    std::uint32_t run = 0;
    /** True if the minion has confirmed the start. */
    bool hasStarted = false;
};

template<typename F>
void visitFields(F &&f, Fields<CrashSuspect> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.hasStarted);
}

/** An instance of a minion that ended without notice. */
struct MinionCrash
{
    MinionLife life;
    /** Latest runs that the minion started, or may have started, before the crash. */
    std::vector<CrashSuspect> suspects;
    /** True if the suspects had started so shortly before that one of them is likely the cause. */
    bool isImmediate = false;
};

template<typename F>
void visitFields(F &&f, Fields<MinionCrash> auto &&v)
{
    f(v.life);
    f(v.suspects);
    f(v.isImmediate);
}

/** The ends of runs that an ended instance of a minion had listed. */
struct ListedEnds
{
    MinionLife life;
    std::vector<RunEnd> ends;
};

template<typename F>
void visitFields(F &&f, Fields<ListedEnds> auto &&v)
{
    f(v.life);
    f(v.ends);
}

/** Agent to leader: the state of the minion on the agent's machine and of its runs. */
struct MachineReport
{
    /** Sequence number of the report within one agent process. */
    std::uint64_t sequence = 0;
    /** Instances of the minion that have certainly ended. */
    std::vector<MinionLife> ended;
    /** False while no minion has announced itself; the minion's fields below are then empty. */
    bool hasMinion = false;
    MinionReport minion;
    /** Latest reading of the minion's own clock, in milliseconds. */
    std::uint64_t minionClockMs = 0;
    /** True if \a running is the complete list of the minion's runs. */
    bool hasRunList = false;
    std::vector<RunStatus> running;
    /** Ended runs that the minion lists and that are not yet acknowledged; see hasMoreEnds. */
    std::vector<RunEnd> finished;
    /** Start orders that the agent is still trying to deliver to the minion. */
    std::vector<RunEnd> undelivered;
    /** Start orders that the minion refused; these runs never started. */
    std::vector<RunEnd> refused;
    /** Share of their requested processor time that filling runs may use, in percent. */
    std::uint32_t fillingPercent = 100;
    /** Those of \a ended that ended without notice. */
    std::vector<MinionCrash> crashes;
    /** Time of the report on the agent's clock, in microseconds; only the agent interprets it. */
    std::int64_t stamp = 0;
    /** True if the minion may hold more ends than it lists at a time. A run that it does not list
     * may then have ended. */
    bool hasMoreEnds = false;
    /** The last list of ends of each instance in \a ended, if it listed any. */
    std::vector<ListedEnds> lastEnds;
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
    f(v.crashes);
    f(v.stamp);
    f(v.hasMoreEnds);
    f(v.lastEnds);
}

/** Order to start a run on a minion, with the data that its agent needs for throttling. */
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
    /** Weight of the job, see JobWeight; used only for a filling run. */
    double weight = 1;
    /** True if no earlier order for the run can have reached a process of the agent. */
    bool isFirstOrder = false;
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
    f(v.isFirstOrder);
}

/** Order to stop a run on a minion. */
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

/** Confirms that a run whose start the agent is still trying to deliver is to start. */
struct StartRenewal
{
    TaskRef task;
    std::uint32_t run = 0;
};

template<typename F>
void visitFields(F &&f, Fields<StartRenewal> auto &&v)
{
    f(v.task);
    f(v.run);
}

/**
 * Interference of a filling image with a serving image: the latency pressure that each core in use
 * by the filling image adds, as a fraction of the serving image's latency bound.
 */
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

/**
 * Value that a job can still earn per core-millisecond of its remaining work; filling runs of jobs
 * with a higher weight get processor time first.
 */
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

/** Latency of a serving image without filling tasks, as a fraction of its latency bound. */
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

/** Leader to control hosts: its interference model, so that the next leader starts with it. */
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

/** Leader to agent: orders and the lease for one instance of the minion. */
struct MachineDirective
{
    /** Term of the leader; serves as the fencing token of every call to the minion. */
    std::uint64_t term = 0;
    MinionLife life;
    /** Expiry of the minion's lease on its own clock, in milliseconds; runs may go on until it. */
    std::uint64_t holdUntilMs = 0;
    /** Ended runs up to this RunEnd::number are committed. */
    std::uint64_t acknowledgedEnd = 0;
    /** Refusals and ended instances in the report with this sequence number are committed. */
    std::uint64_t acknowledgedReport = 0;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    /** Interference between the images on the minion; empty if unchanged. */
    std::vector<ImageInterference> interference;
    /** Weights of the jobs with filling runs on the minion; empty if unchanged. */
    std::vector<JobWeight> weights;
    /** MachineReport::stamp of the latest report that the leader had when it gave the orders. */
    std::int64_t reportStamp = 0;
    std::vector<StartRenewal> renewals;
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
    f(v.reportStamp);
    f(v.renewals);
}

} // namespace Oleander
