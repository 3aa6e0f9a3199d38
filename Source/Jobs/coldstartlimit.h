#pragma once

#include "Base/clock.h"
#include "Jobs/jobcommand.h"
#include "Jobs/machinetable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Oleander::Jobs {

/** Limit of the starts on a cold minion in one second. */
struct ColdStartOptions
{
    /** Multiple of the average starts on a warm minion of the same service. */
    double overage = 0;
    /** Starts that are allowed in addition. */
    std::uint64_t slack = 0;
};

/**
 * \class ColdStartLimit
 * \brief Limits the starts on minions that are cold, so that load returns to them gradually.
 *
 * A minion is cold while it reports a remaining cold time, and shortly after the evacuation of its
 * failure domain was withdrawn. Without options, or without a warm minion of the same service,
 * there is no limit.
 */
class ColdStartLimit
{
public:
    ColdStartLimit(const JobBook &book, const MachineTable &machines,
                   std::optional<ColdStartOptions> options)
        : book_(book), machines_(machines), options_(options)
    {}

    void startTerm();
    /** Computes the limits for a placement at \a now. */
    void update(TimePoint now, std::int64_t nowMs);
    /** Number of tasks that may start on \a life in this placement; empty if it is not limited. */
    std::optional<std::uint64_t> startsLeft(const MinionLife &life) const;
    /** Records the starts of a placement. */
    void record(TimePoint now, const std::vector<RunStart> &starts);

private:
    bool isCold(const Machine &machine, std::int64_t nowMs) const;

    const JobBook &book_;
    const MachineTable &machines_;
    std::optional<ColdStartOptions> options_;
    /** Times of the starts within the last second on each minion. */
    std::map<MinionLife, std::deque<TimePoint>> starts_;
    std::map<MinionLife, std::uint64_t> startsLeft_;
};

} // namespace Oleander::Jobs
