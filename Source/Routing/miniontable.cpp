#include "Routing/miniontable.h"

#include <algorithm>

namespace Oleander {

namespace {

void release(Minion &minion)
{
    if (minion.inFlight > 0)
        --minion.inFlight;
}

void applyLoadReport(Minion &minion, std::uint32_t running, std::uint32_t queued)
{
    minion.status.running = running;
    minion.status.queued = queued;
    minion.inFlightAtReport = minion.inFlight;
}

} // namespace

std::uint32_t Minion::load() const
{
    const std::int64_t reported = std::int64_t(status.running) + status.queued;
    const std::int64_t since = std::int64_t(inFlight) - inFlightAtReport;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(reported + since, inFlight));
}

bool MinionTable::update(const std::string &agentName, std::uint64_t incarnation,
                         const Heartbeat &heartbeat, TimePoint now)
{
    Agent &agent = agents_[agentName];
    const bool older = incarnation < agent.incarnation
                       || (incarnation == agent.incarnation && heartbeat.stamp < agent.stamp);
    if (older)
        return false;
    if (incarnation > agent.incarnation)
        agent.minions.clear();
    agent.incarnation = incarnation;
    agent.stamp = heartbeat.stamp;
    agent.lastHeartbeatAt = now;

    std::map<std::string, std::unique_ptr<Minion>> minions;
    for (const auto &status : heartbeat.minions) {
        auto known = agent.minions.find(status.name);
        auto &minion = minions[status.name];
        if (known != agent.minions.end() && known->second)
            minion = std::move(known->second);
        else
            minion = std::make_unique<Minion>(
                Minion{.agent = agentName, .latency = DecayedLatency(settings_.latencyHalfLife)});
        minion->agentIncarnation = incarnation;
        minion->location = heartbeat.location;
        minion->status = status;
        minion->inFlightAtReport = minion->inFlight;
    }
    agent.minions = std::move(minions);
    rebuildServices();
    return true;
}

void MinionTable::updateLoad(Minion &minion, std::uint32_t running, std::uint32_t queued)
{
    applyLoadReport(minion, running, queued);
}

void MinionTable::expire(TimePoint now)
{
    const auto removed = std::erase_if(agents_, [&](const auto &entry) {
        return now - entry.second.lastHeartbeatAt >= settings_.forgetAfter;
    });
    if (removed > 0)
        rebuildServices();
}

std::vector<Minion *> MinionTable::eligible(const std::string &service, TimePoint now)
{
    std::vector<Minion *> result;
    const auto found = services_.find(service);
    if (found == services_.end())
        return result;
    for (Minion *minion : found->second) {
        const bool alive = now - agents_.at(minion->agent).lastHeartbeatAt < settings_.agentTimeout;
        if (alive && minion->status.state == MinionState::Serving && minion->health.admits(now))
            result.push_back(minion);
    }
    return result;
}

Minion *MinionTable::find(const std::string &agent, const std::string &minion)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end())
        return nullptr;
    const auto entry = found->second.minions.find(minion);
    return entry == found->second.minions.end() ? nullptr : entry->second.get();
}

std::optional<Duration> MinionTable::timeSinceHeartbeat(const std::string &agent,
                                                        TimePoint now) const
{
    const auto found = agents_.find(agent);
    if (found == agents_.end())
        return std::nullopt;
    return now - found->second.lastHeartbeatAt;
}

std::uint64_t MinionTable::incarnation(const std::string &agent) const
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? 0 : found->second.incarnation;
}

std::vector<const Minion *> MinionTable::all() const
{
    std::vector<const Minion *> result;
    for (const auto &[name, agent] : agents_) {
        for (const auto &[minionName, minion] : agent.minions)
            result.push_back(minion.get());
    }
    return result;
}

void MinionTable::started(Minion &minion, TimePoint now)
{
    ++minion.inFlight;
    minion.health.started(now);
}

void MinionTable::succeeded(Minion &minion, Duration latency, TimePoint now)
{
    release(minion);
    minion.latency.observe(latency, now);
    minion.health.succeeded();
}

void MinionTable::failed(Minion &minion, TimePoint now)
{
    release(minion);
    const auto &service = minion.status.service;
    const std::size_t cap = maxEjectedMinions(settings_.outlier, services_[service].size());
    minion.health.failed(settings_.outlier, ejectedCount(service, now) < cap, now);
}

void MinionTable::abandoned(Minion &minion)
{
    release(minion);
    minion.health.abandoned();
}

void MinionTable::rebuildServices()
{
    services_.clear();
    for (const auto &[name, agent] : agents_) {
        for (const auto &[minionName, minion] : agent.minions)
            services_[minion->status.service].push_back(minion.get());
    }
}

std::size_t MinionTable::ejectedCount(const std::string &service, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [&](const Minion *minion) {
            return minion->health.state(now) == OutlierEjection::State::Ejected;
        }));
}

} // namespace Oleander
