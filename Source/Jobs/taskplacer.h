#pragma once

#include "Jobs/joborder.h"
#include "Jobs/machinetable.h"

#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** What the active runs on one life of a minion have claimed of it. */
struct MinionUse
{
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint64_t accelerators = 0;
    /** Processor time that filling tasks ask for, which is not claimed. */
    std::uint64_t fillingMilliCores = 0;
    /** Tasks with a bound of their tail latency. */
    std::uint32_t serving = 0;
};

/** Sums what the active runs of \a book claim of each life of a minion. */
std::map<MinionLife, MinionUse> minionUse(const JobBook &book);

/**
 * \class TaskPlacer
 * \brief Decides which ready tasks start now, and where.
 *
 * Load it answers: wide steps beside lasting tasks on minions that start whatever they are told,
 * so that this ledger alone keeps them within their capacity.
 */
class TaskPlacer
{
public:
    TaskPlacer(const JobBook &book, const MachineTable &machines) : book_(book), machines_(machines)
    {}

    /** Returns the starts for the calendar time \a nowMs, which is \a now on the loop's clock. */
    std::vector<RunStart> place(TimePoint now, std::int64_t nowMs);

private:
    struct Candidate
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        MinionUse use;
    };

    void placeStep(const RankedJob &ranked, std::uint32_t step, std::vector<RunStart> &starts);
    Candidate *choose(const StepSpec &step, const std::string &service, const Task &task,
                      std::uint32_t maxAttempts, const std::map<MinionLife, std::uint32_t> &spread);
    bool fits(const Candidate &candidate, const StepSpec &step) const;

    const JobBook &book_;
    const MachineTable &machines_;
    std::vector<Candidate> candidates_;
};

} // namespace Oleander::Jobs
