#pragma once

#include "Placement/taskexecutor.h"
#include "Placement/taskscheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** Simulated true time; the clocks of the processes drift from it. */
using TrueTime = Duration;

/** Time during which one attempt ran on one worker. */
struct Interval
{
    std::string worker;
    std::uint32_t attempt = 0;
    std::uint64_t resumedFrom = 0;
    TrueTime begin{};
    TrueTime end = TrueTime::max();
    std::string endReason;
};

/** Faults that a run injects. */
struct Faults
{
    double maxDrift = 0.01;
    /** Probabilities per step of 20 ms. */
    double freezeAgent = 0;
    double restartAgent = 0;
    double cutWorker = 0;
    double changeLeader = 0;
    /** Probabilities that a message is lost and that it arrives twice. */
    double lose = 0;
    double duplicate = 0;
    /** Probability that the outcome of a committed command is reported as unknown. */
    double unknownOutcome = 0;
    /** Probability per step that a random task is evicted. */
    double evict = 0;
    Duration maxDelay = std::chrono::milliseconds(30);
    /** Maximum delay of a late message; one message in fifty is late. */
    Duration lateDelay = std::chrono::seconds(12);
    Duration maxOutage = std::chrono::seconds(15);
    /** True to fail periodic checkpoints of tasks and those that the leader requests. */
    bool checkpointsFail = false;
    /** True to lose the worker's reply to the first stop call of each attempt. */
    bool loseStopAnswers = false;
};

/**
 * \class FaultRun
 * \brief Simulates two schedulers, their task book, and agents with fake workers in steps of true
 * time, and injects faults. The same seed gives the same run.
 */
class FaultRun
{
public:
    FaultRun(std::uint32_t seed, const Faults &faults, int workers);
    ~FaultRun();
    FaultRun(const FaultRun &) = delete;
    FaultRun &operator=(const FaultRun &) = delete;

    void submit(const std::string &job, Records::BatchSpec spec);
    void submitService(const std::string &name, Records::ServiceSpec spec);
    void setRecord(Records::RecordKind kind, const std::string &name, Records::Spec spec,
                   bool withdrawn);
    void apply(const Placement::TaskCommand &command);
    void runFor(Duration time);
    /** Runs until \a condition holds or \a timeout passes; returns whether the condition holds. */
    bool runUntil(const std::function<bool()> &condition, Duration timeout);
    /** Stops injecting faults and ends current freezes and outages. */
    void stopFaults();
    /** Sets the run time after which tasks succeed; 0 lets them run until stopped. */
    void setRunTime(Duration time) { runTime_ = time; }
    /** Makes attempts of this task, or all attempts on this worker, fail when they start. */
    void failTask(const std::string &task) { failingTasks_.insert(task); }
    void failWorker(const std::string &worker, bool fails);
    void cut(const std::string &worker, bool isCut);

    const Placement::TaskBook &book() const { return book_; }
    const std::vector<Records::EventDraft> &drafts() const { return drafts_; }
    const std::map<std::string, std::vector<Interval>> &intervals() const { return intervals_; }
    /** Returns true if an event for \a name contains \a expected. */
    bool hasEvent(const std::string &name, const std::string &expected) const;
    WallTime wall() const;

    /** Describes the first two intervals of one task that overlap, or returns an empty string. */
    std::string overlap() const;

private:
    struct Run;
    struct Host;
    struct Leader;
    struct Delivery
    {
        TrueTime at{};
        std::function<void()> act;
    };

    bool happens(double chance);
    Duration delay();
    void deliver(const std::function<void()> &act);
    void step();
    void injectFaults();
    void stepHost(Host &host);
    void callWorker(Host &host, const Placement::WorkerCall &call);
    void stepWorker(Host &host);
    void heartbeat(Host &host);
    void receive(Leader &leader, const std::string &worker, std::uint64_t incarnation,
                 const Heartbeat &message);
    TimePoint clockOf(double rate) const;
    void elect(std::size_t leader);
    void endRun(Host &host, const std::string &task, const std::string &endReason);

    Faults faults_;
    std::minstd_rand random_;
    TrueTime now_ = std::chrono::seconds(100);
    Placement::TaskBook book_;
    std::vector<Records::EventDraft> drafts_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<Leader>> leaders_;
    std::size_t elected_ = 0;
    std::multimap<TrueTime, std::function<void()>> deliveries_;
    std::map<std::string, std::vector<Interval>> intervals_;
    Duration runTime_{};
    std::set<std::string> failingTasks_;
    std::uint64_t revision_ = 0;
};

} // namespace Oleander::Testing
