#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/joborder.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"

#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/**
 * \class TaskPlacer
 * \brief Decides which ready tasks start now, and where.
 *
 * Load it answers: wide steps beside lasting tasks on minions that start whatever they are told,
 * so that this ledger alone keeps them within their capacity. A lasting task that lost its run
 * comes first, since small tasks would take its room in pieces and it would not come together
 * again.
 */
class TaskPlacer
{
public:
    TaskPlacer(const JobBook &book, const MachineTable &machines,
               const InterferenceTable &interference)
        : book_(book), machines_(machines), interference_(interference)
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

    /** Passes over the jobs, in this order. */
    enum class Turn { Restart, Start };

    static Turn turnOf(const StepSpec &step, const Task &task);
    void placeStep(const RankedJob &ranked, std::uint32_t step, Turn turn,
                   std::vector<RunStart> &starts);
    Candidate *choose(const StepSpec &step, const std::string &service, const Task &task,
                      std::uint32_t maxAttempts, bool urgent,
                      const std::map<MinionLife, std::uint32_t> &spread);
    /** True while so little of \a service is claimed that no job should stand still. */
    bool idle(const std::string &service) const;
    bool fits(const Candidate &candidate, const StepSpec &step) const;
    /** Milli-cores that more tasks of \a image can expect on \a candidate. */
    std::int64_t fillingRoom(const Candidate &candidate, const std::string &image) const;

    const JobBook &book_;
    const MachineTable &machines_;
    const InterferenceTable &interference_;
    std::vector<Candidate> candidates_;
    TimePoint now_{};
    std::int64_t nowMs_ = 0;
};

} // namespace Oleander::Jobs
