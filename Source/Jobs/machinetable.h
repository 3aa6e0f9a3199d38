#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"
#include "Jobs/minionhealth.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Timing of the leases that a leader grants to minions, and of their reports. */
struct LeaseOptions
{
    /** Length of a lease on the minion's own clock. */
    Duration length = std::chrono::seconds(5);
    /** Time added to a lease before the leader treats it as expired, for minion clocks that run
     * slow. */
    Duration margin = std::chrono::milliseconds(400);
    /** Age at which the leader renews a lease. */
    Duration renewAfter = std::chrono::milliseconds(700);
    /** Time after the last disturbance at which a minion accepts tasks again. */
    Duration disturbedFor = std::chrono::milliseconds(1'500);
    /** Maximum age of the latest report of a machine that receives new tasks. */
    Duration maxReportAge = std::chrono::milliseconds(1'600);
};

/** State of one run as its machine last listed it. */
struct RunView
{
    std::uint32_t percent = 0;
    std::string checkpoint;
    /** Tail latency in milliseconds of a long-running task, otherwise the milli-cores in use. */
    std::uint32_t measurement = 0;
    /** Time at which the percentage last increased. */
    TimePoint progressAt{};
    /** True if the agent knows the order that started the run. */
    bool isOrderKnown = false;
    /** Percentage when the run was first listed. */
    std::uint32_t firstPercent = 0;
    /** Execution time since the run was first listed, in milliseconds at full speed. */
    double workedMs = 0;

    /** Progress at which a long-running run has completed its startup. */
    static constexpr std::uint32_t AtWorkPercent = 100;
    bool isAtWork() const { return percent >= AtWorkPercent; }
    /** Estimates the duration of the whole task at full speed in milliseconds. Empty until enough
     * progress has been observed. */
    std::optional<double> durationMs() const;
};

/** State of one life of a minion and of its agent, as known to the leader. */
struct Machine
{
    /** Name of the agent on the same machine. */
    std::string agent;
    MinionReport minion;
    TimePoint reportedAt{};
    /** Time of the last report that listed the runs. */
    TimePoint listedAt{};
    /** MachineReport::stamp of the latest report. */
    std::int64_t reportStamp = 0;
    std::uint64_t clockMs = 0;
    std::uint64_t leaseUntilMs = 0;
    TimePoint leaseGrantedAt{};
    /** Time at which every granted lease has expired for certain. */
    TimePoint leaseEnd{};
    /** Highest number of a committed end. */
    std::uint64_t acknowledgedEnd = 0;
    std::map<RunKey, RunView> running;
    /** Share of their processor time that the filling runs may use, in percent. */
    std::uint32_t fillingPercent = 100;
    std::set<RunKey> undelivered;
    std::set<RunKey> finishing;
    /** MachineReport::hasMoreEnds of the latest report. */
    bool hasMoreEnds = false;
    MinionHealth health;
    /** Time since which the filling runs have used almost no processor time. */
    std::optional<TimePoint> fillingIdleSince;
    /** First and last time at which serving tasks exceeded their latency target while no filling
     * task used processor time. */
    TimePoint disturbedSince{};
    TimePoint disturbedAt{};
};

/**
 * \class MachineTable
 * \brief The leader's view of the minions: reports, leases and listed runs.
 *
 * Valid for one term; a new leader starts with an empty table and fills it from the reports of all
 * machines.
 */
class MachineTable
{
public:
    /** \a book provides the evacuated failure domains; without one there are none. */
    explicit MachineTable(LeaseOptions options, const JobBook *book = nullptr)
        : options_(options), evacuations_(book)
    {}

    /** Clears the table for a leader in \a term. In a new term the leases of the previous leader
     * are treated as valid for a full lease from now; in the same term only this leader granted
     * any. */
    void startTerm(TimePoint now, std::uint64_t term);
    /** Processes a report; returns the run ends in it that \a book does not contain yet. */
    std::vector<MinionRunEnd> report(TimePoint now, const std::string &agent,
                                     const MachineReport &report, const JobBook &book);
    /** Returns the ends of runs on minions whose lease has expired for certain. */
    std::vector<MinionRunEnd> expireLeases(TimePoint now, const JobBook &book);
    /** Renews the lease of \a machine based on its latest report; returns false if no renewal is
     * due. */
    bool renewLease(TimePoint now, Machine &machine) const;
    /** Records that serving tasks on \a machine exceed their latency target and filling tasks are
     * not the cause. */
    void markDisturbed(TimePoint now, Machine &machine) const;
    bool isDisturbed(TimePoint now, const Machine &machine) const;
    /** True if no task may start on \a machine because its failure domain is evacuated. */
    bool isEvacuated(const Machine &machine) const;
    /** True if \a machine can execute tasks; it accepts new ones only if it is not evacuated. */
    bool isWorking(TimePoint now, const Machine &machine) const;
    /** True if \a machine may receive new tasks of any kind. */
    bool acceptsTasks(TimePoint now, const Machine &machine) const;
    /** True if \a machine may receive new long-running tasks. */
    bool acceptsLongRunningTasks(TimePoint now, const Machine &machine) const;

    std::map<MinionLife, Machine> &machines() { return machines_; }
    const std::map<MinionLife, Machine> &machines() const { return machines_; }
    Machine *find(const MinionLife &life);
    /** Returns the run \a key as \a life last listed it, or null. */
    const RunView *findRun(const MinionLife &life, const RunKey &key) const;
    /** True if \a life has listed the run \a key as running or ended. */
    bool hasListed(const MinionLife &life, const RunKey &key) const;
    /** Returns the runs that \a machine, of \a life, listed last and may still execute although
     * they are not active there in \a book. A minion may carry out a start that was meant for an
     * earlier life. */
    std::vector<RunKey> unbookedRuns(TimePoint now, const MinionLife &life, const Machine &machine,
                                     const JobBook &book) const;
    const LeaseOptions &options() const { return options_; }

private:
    /** Ends all runs on \a life; \a crash is null unless the minion crashed. */
    void endLife(const MinionLife &life, const MinionCrash *crash, const JobBook &book,
                 std::vector<MinionRunEnd> &runEnds);
    void updateRuns(TimePoint now, Machine &machine, const MachineReport &report,
                    const JobBook &book);
    /** Time after a report at which every lease granted on it has expired for certain. */
    Duration longestLease() const;
    MinionRunEnd lostRunEnd(const MinionLife &life, const RunKey &key) const;

    LeaseOptions options_;
    const JobBook *evacuations_;
    std::map<MinionLife, Machine> machines_;
    std::uint64_t term_ = 0;
    TimePoint termStart_{};
    /** Ends of the leases granted in this term before the table was last cleared. */
    std::map<MinionLife, TimePoint> earlierLeaseEnds_;
};

} // namespace Oleander::Jobs
