#pragma once

#include "Base/nametable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander::Testing {

/**
 * \class SoakRandom
 * \brief Random numbers that depend on the seed only, not on the standard library.
 */
class SoakRandom
{
public:
    explicit SoakRandom(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next();
    /** A number from \a least to \a most, both included. */
    std::uint64_t between(std::uint64_t least, std::uint64_t most);
    /** One of \a choices, which is not empty. */
    template<typename Choice>
    const Choice &pick(const std::vector<Choice> &choices)
    {
        return choices[between(0, choices.size() - 1)];
    }

private:
    std::uint64_t state_;
};

/** What is done to a process or to a link between two processes. */
enum class FaultKind {
    /** SIGTERM; the process is started again once it has ended. */
    Stop,
    /** SIGKILL and a later start. */
    Kill,
    /** SIGHUP and a later start, if the process has ended. */
    HangUp,
    /** SIGKILL, bytes after the last record of the log, and a later start. */
    TornLog,
    /** SIGSTOP and a later SIGCONT. */
    Freeze,
    /** All links from and to a process are cut. */
    Isolate,
    Cut,
    CutToTarget,
    CutFromTarget,
    /** Every connection of a link is closed once. */
    Reset,
    Delay
};

constexpr NameTable<FaultKind, 11> FaultKindNames{{
    {FaultKind::Stop, "stop"},
    {FaultKind::Kill, "kill"},
    {FaultKind::HangUp, "hang-up"},
    {FaultKind::TornLog, "torn-log"},
    {FaultKind::Freeze, "freeze"},
    {FaultKind::Isolate, "isolate"},
    {FaultKind::Cut, "cut"},
    {FaultKind::CutToTarget, "cut-to-target"},
    {FaultKind::CutFromTarget, "cut-from-target"},
    {FaultKind::Reset, "reset"},
    {FaultKind::Delay, "delay"},
}};

/** One fault. Its begin and end are counted in completed calls, which are the clock of the plan. */
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    /** A process, or a link: "FROM>TO". */
    std::string target;
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
    /** Milliseconds of a delay, bytes of a torn log. */
    std::uint64_t amount = 0;
};

/** Everything that a seed decides: the cluster, the load and the faults. */
struct SoakPlan
{
    std::uint64_t seed = 0;
    std::size_t entries = 3;
    std::size_t agents = 2;
    std::size_t callersPerEntry = 2;
    /** Longest time that a minion takes to answer, in milliseconds. */
    std::uint64_t maxAnswerMs = 0;
    std::size_t jobs = 0;
    /** Up to this count of calls, processes are only stopped gracefully. */
    std::uint64_t gracefulCalls = 0;
    /** Ordered by begin. */
    std::vector<Fault> faults;

    /** Count of calls at which the last fault ends. */
    std::uint64_t lastCall() const;
    /** One line for the cluster and the load, and one a fault. */
    std::string text() const;
};

/** Draws the plan of \a seed. */
SoakPlan makeSoakPlan(std::uint64_t seed);

} // namespace Oleander::Testing
