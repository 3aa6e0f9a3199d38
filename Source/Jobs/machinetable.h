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

/** Times of the leases that a leader grants to minions. */
struct LeaseOptions
{
    /** Length of a lease on the minion's own clock. */
    Duration length = std::chrono::seconds(5);
    /** Added to a lease before it counts as ended, for clocks that run slow. */
    Duration margin = std::chrono::milliseconds(400);
    /** Age of a lease at which the leader renews it. */
    Duration renewAfter = std::chrono::milliseconds(700);
    /** Time after which a minion that was seen disturbed counts as sound again. */
    Duration disturbedFor = std::chrono::milliseconds(1'500);
    /** Age of a report from which on its machine gets no new task. */
    Duration maxReportAge = std::chrono::milliseconds(1'600);
};

/** One run as its machine last listed it. */
struct RunView
{
    std::uint32_t percent = 0;
    std::string checkpoint;
    /** See RunStatus. */
    std::uint32_t measurement = 0;
    /** Time at which the percentage last rose. */
    TimePoint progressAt{};
    /** True when the agent knows the order that started it. */
    bool isOrderKnown = false;
    /** Percentage at which it was first listed. */
    std::uint32_t firstPercent = 0;
    /** Time that it has worked since then, counted at full speed, in milliseconds. */
    double workedMs = 0;

    /** Progress at which a lasting run is past its startup. */
    static constexpr std::uint32_t AtWorkPercent = 100;
    bool isAtWork() const { return percent >= AtWorkPercent; }
    /** Length of the whole task at full speed in milliseconds, once enough of it was seen. */
    std::optional<double> durationMs() const;
};

/** One life of a minion as the leader knows it. */
struct Machine
{
    /** Name of the agent beside the minion. */
    std::string agent;
    MinionReport minion;
    TimePoint reportedAt{};
    /** When its runs were last listed. */
    TimePoint listedAt{};
    std::uint64_t clockMs = 0;
    std::uint64_t leaseUntilMs = 0;
    TimePoint leaseGrantedAt{};
    /** When every lease that was granted has surely ended. */
    TimePoint leaseEnd{};
    /** Highest number of a committed end. */
    std::uint64_t acknowledgedEnd = 0;
    std::map<RunKey, RunView> running;
    /** Share of their processor time that the filling runs may use, in percent. */
    std::uint32_t fillingPercent = 100;
    std::set<RunKey> undelivered;
    std::set<RunKey> finishing;
    MinionHealth health;
    /** Since when the filling runs use next to nothing. */
    std::optional<TimePoint> fillingIdleSince;
    /** When serving tasks were first and last seen over their bound with no filling task at work.
     */
    TimePoint disturbedSince{};
    TimePoint disturbedAt{};
};

/**
 * \class MachineTable
 * \brief What a leader knows of the minions: reports, leases and what their agents list.
 *
 * Belongs to one term; a new leader starts with an empty table and hears of every machine again.
 */
class MachineTable
{
public:
    explicit MachineTable(LeaseOptions options) : options_(options) {}

    /** Forgets everything: a new leader must not count a lease as ended before its full length. */
    void startTerm(TimePoint now);
    /** Takes a report in; returns the ends that it tells of and that \a book still lacks. */
    std::vector<MinionRunEnd> report(TimePoint now, const std::string &agent,
                                     const MachineReport &report, const JobBook &book);
    /** Returns the ends of runs on minions whose lease has surely ended. */
    std::vector<MinionRunEnd> expireLeases(TimePoint now, const JobBook &book);
    /** Extends the lease of \a machine by its latest report; returns false when none is due. */
    bool renewLease(TimePoint now, Machine &machine) const;
    /** Its serving tasks are over their bound, and no filling task is the cause. */
    void markDisturbed(TimePoint now, Machine &machine) const;
    bool isDisturbed(TimePoint now, const Machine &machine) const;
    /** True when \a machine may get new tasks. */
    bool acceptsTasks(TimePoint now, const Machine &machine) const;

    std::map<MinionLife, Machine> &machines() { return machines_; }
    const std::map<MinionLife, Machine> &machines() const { return machines_; }
    Machine *find(const MinionLife &life);
    /** The run \a key as \a life listed it last, or null. */
    const RunView *findRun(const MinionLife &life, const RunKey &key) const;
    const LeaseOptions &options() const { return options_; }

private:
    void endLife(const MinionLife &life, const JobBook &book, std::vector<MinionRunEnd> &runEnds);
    void updateRuns(TimePoint now, Machine &machine, const MachineReport &report,
                    const JobBook &book);
    MinionRunEnd lostRunEnd(const MinionLife &life, const RunKey &key) const;

    LeaseOptions options_;
    std::map<MinionLife, Machine> machines_;
    TimePoint termStart_{};
};

} // namespace Oleander::Jobs
