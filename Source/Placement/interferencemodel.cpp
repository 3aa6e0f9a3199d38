#include "Placement/interferencemodel.h"

#include <algorithm>

namespace Oleander::Placement {

namespace {

// Reserved ids, used in place of a task kind; those of task kinds count up from zero.
constexpr std::uint32_t BaseTerm = UINT32_MAX;
constexpr std::uint32_t PressureTerm = UINT32_MAX - 1;
constexpr Estimate PressurePrior = {2.0, 4.0};
constexpr double MicrosecondsPerSecond = 1e6;

/** One term of the sum that a report measures. */
struct Term
{
    Estimate *estimate = nullptr;
    double weight = 0;
};

} // namespace

InterferenceModel::InterferenceModel(const InterferenceSettings &settings) : settings_(settings) {}

Estimate InterferenceModel::lookUp(std::uint32_t victim, std::uint32_t aggressor,
                                   const Estimate &prior) const
{
    const auto found = entries_.find(key(victim, aggressor));
    return found == entries_.end() ? prior : found->second.estimate;
}

Estimate InterferenceModel::effect(std::uint32_t victim, std::uint32_t aggressor) const
{
    return lookUp(victim, aggressor, settings_.prior);
}

Estimate InterferenceModel::baseLogLatency(std::uint32_t victim) const
{
    return lookUp(victim, BaseTerm, {0, settings_.baseVariance});
}

Estimate InterferenceModel::pressureEffect(std::uint32_t victim) const
{
    return lookUp(victim, PressureTerm, PressurePrior);
}

InterferenceModel::Entry &InterferenceModel::entry(std::uint32_t victim, std::uint32_t aggressor,
                                                   const Estimate &prior, TimePoint at)
{
    const auto [found, isNew] = entries_.try_emplace(key(victim, aggressor), Entry{prior, at});
    Entry &entry = found->second;
    if (!isNew && at > entry.updated) {
        const double seconds =
            static_cast<double>((at - entry.updated).count()) / MicrosecondsPerSecond;
        entry.estimate.variance =
            std::min(prior.variance, entry.estimate.variance + settings_.decay * seconds);
        entry.updated = at;
    }
    return entry;
}

void InterferenceModel::learn(std::uint32_t victim, bool isService,
                              const std::vector<Neighbour> &neighbours, double pressure,
                              double value, TimePoint at)
{
    // Neighbours of one kind share one term, so their intensities are added.
    std::vector<std::pair<std::uint32_t, double>> kinds;
    for (const Neighbour &neighbour : neighbours) {
        const auto same = std::find_if(kinds.begin(), kinds.end(), [&](const auto &item) {
            return item.first == neighbour.kind;
        });
        if (same == kinds.end())
            kinds.emplace_back(neighbour.kind, neighbour.intensity);
        else
            same->second += neighbour.intensity;
    }
    std::vector<Term> terms;
    // References to elements of an unordered_map stay valid when it grows.
    if (isService) {
        const Estimate unknown = {value, settings_.baseVariance};
        terms.push_back({&entry(victim, BaseTerm, unknown, at).estimate, 1.0});
    }
    if (pressure > 0)
        terms.push_back({&entry(victim, PressureTerm, PressurePrior, at).estimate, pressure});
    for (const auto &[kind, intensity] : kinds)
        terms.push_back({&entry(victim, kind, settings_.prior, at).estimate, intensity});

    double expected = 0;
    double variance = settings_.noise;
    for (const Term &term : terms) {
        expected += term.estimate->mean * term.weight;
        variance += term.estimate->variance * term.weight * term.weight;
    }
    const double error = value - expected;
    for (const Term &term : terms) {
        const double gain = term.estimate->variance * term.weight / variance;
        term.estimate->mean += gain * error;
        term.estimate->variance *= 1.0 - gain * term.weight;
    }
}

} // namespace Oleander::Placement
