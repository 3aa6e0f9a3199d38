#include "Soak/plan.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Testing {

namespace {

/** Draws faults such that those of the same target do not overlap. */
class FaultDraw
{
public:
    FaultDraw(SoakPlan &plan, SoakRandom &random) : plan_(plan), random_(random) {}

    /** Stops one process of each kind once, so that the stops overlap. */
    void drawGraceful()
    {
        constexpr std::uint64_t Gap = 40;
        std::uint64_t begin = Gap;
        std::vector<std::string> targets{numbered("entry", plan_.entries),
                                         numbered("agent", plan_.agents),
                                         numbered("minion", plan_.agents)};
        while (!targets.empty()) {
            const auto at = random_.between(0, targets.size() - 1);
            add({FaultKind::Stop, targets[at], begin, begin + random_.between(40, 120)});
            targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(at));
            begin += random_.between(Gap, 2 * Gap);
        }
        plan_.gracefulCalls = plan_.lastCall() + Gap;
    }

    /** Draws a series of faults of every kind. */
    void drawSeries()
    {
        const auto count = random_.between(8, 14);
        std::uint64_t begin = plan_.gracefulCalls;
        for (std::uint64_t drawn = 0; drawn < count;) {
            Fault fault = drawFault();
            fault.begin = begin;
            fault.end = begin + random_.between(20, 400);
            if (!isFree(fault))
                continue;
            add(std::move(fault));
            ++drawn;
            begin += random_.between(0, 100);
        }
    }

    /** Freezes one worker beside the series, which stays as it was drawn. */
    void drawFrozenWorker()
    {
        Fault fault;
        fault.kind = FaultKind::Freeze;
        const auto lastCall = plan_.lastCall();
        do {
            fault.target = numbered("worker", plan_.agents);
            fault.begin = random_.between(plan_.gracefulCalls, lastCall);
            fault.end = fault.begin + random_.between(20, 400);
        } while (!isFree(fault));
        const auto next = std::ranges::upper_bound(plan_.faults, fault.begin, {}, &Fault::begin);
        plan_.faults.insert(next, std::move(fault));
    }

private:
    std::string numbered(const char *kind, std::size_t count)
    {
        return fmt::format("{}-{}", kind, random_.between(1, count));
    }

    std::string drawLink()
    {
        const auto entry = numbered("entry", plan_.entries);
        const auto agent = numbered("agent", plan_.agents);
        switch (random_.between(0, 2)) {
        case 0:
            return agent + '>' + entry;
        case 1:
            // All entries share the link to an agent.
            return "*>" + agent;
        default:
            auto other = entry;
            while (other == entry)
                other = numbered("entry", plan_.entries);
            return entry + '>' + other;
        }
    }

    Fault drawFault()
    {
        Fault fault;
        fault.kind = FaultKindNames[random_.between(0, FaultKindNames.size() - 1)].value;
        const auto entry = numbered("entry", plan_.entries);
        const auto agent = numbered("agent", plan_.agents);
        const auto worker = numbered("worker", plan_.agents);
        const auto minion = numbered("minion", plan_.agents);
        switch (fault.kind) {
        case FaultKind::Kill:
            fault.target = random_.pick<std::string>({entry, entry, agent, worker, minion});
            break;
        case FaultKind::Stop:
        case FaultKind::Freeze:
            fault.target = random_.pick<std::string>({entry, entry, agent, minion});
            break;
        case FaultKind::HangUp:
        case FaultKind::Isolate:
            fault.target = random_.pick<std::string>({entry, agent});
            break;
        case FaultKind::TornLog:
            fault.target = entry;
            fault.amount = random_.between(1, 64);
            break;
        default:
            fault.target = drawLink();
            fault.amount = fault.kind == FaultKind::Delay ? random_.between(2, 60) : 0;
        }
        return fault;
    }

    bool isFree(const Fault &fault) const
    {
        return std::none_of(plan_.faults.begin(), plan_.faults.end(), [&](const Fault &other) {
            return other.target == fault.target && fault.begin <= other.end
                   && other.begin <= fault.end;
        });
    }

    void add(Fault fault) { plan_.faults.push_back(std::move(fault)); }

    SoakPlan &plan_;
    SoakRandom &random_;
};

} // namespace

std::uint64_t SoakRandom::next()
{
    // SplitMix64.
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t SoakRandom::between(std::uint64_t least, std::uint64_t most)
{
    return least + next() % (most - least + 1);
}

std::uint64_t SoakPlan::lastCall() const
{
    std::uint64_t last = 0;
    for (const auto &fault : faults)
        last = std::max(last, fault.end);
    return last;
}

std::string SoakPlan::text() const
{
    std::string text =
        fmt::format("seed {}: {} entries, {} agents, {} callers an entry, answers "
                    "of up to {} ms, {} jobs, only stops up to call {}\n",
                    seed, entries, agents, callersPerEntry, maxAnswerMs, jobs, gracefulCalls);
    for (const auto &fault : faults) {
        text += fmt::format("calls {} to {}: {} {} {}\n", fault.begin, fault.end,
                            nameIn(FaultKindNames, fault.kind), fault.target, fault.amount);
    }
    return text;
}

SoakPlan makeSoakPlan(std::uint64_t seed)
{
    SoakRandom random(seed);
    SoakPlan plan;
    plan.seed = seed;
    plan.agents = random.between(2, 4);
    plan.callersPerEntry = random.between(2, 4);
    plan.maxAnswerMs = random.between(10, 200);
    plan.jobs = random.between(8, 24);
    FaultDraw draw(plan, random);
    draw.drawGraceful();
    draw.drawSeries();
    draw.drawFrozenWorker();
    return plan;
}

} // namespace Oleander::Testing
