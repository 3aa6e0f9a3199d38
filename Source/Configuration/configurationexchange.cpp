#include "Configuration/configurationexchange.h"

namespace Oleander {

namespace {

/** Questions whose answers still count. */
constexpr std::size_t MaxPendingPulls = 64;

} // namespace

ConfigurationPull ConfigurationPuller::startPull(TimePoint now)
{
    pendingPulls_[++lastStamp_] = {now, gate_.version()};
    if (pendingPulls_.size() > MaxPendingPulls)
        pendingPulls_.erase(pendingPulls_.begin());
    return {gate_.version(), lastStamp_};
}

ConfigurationPuller::PushResult ConfigurationPuller::handlePush(const ConfigurationPush &push)
{
    const auto found = pendingPulls_.find(push.stamp);
    if (found == pendingPulls_.end())
        return {};
    const auto pending = found->second;
    pendingPulls_.erase(found);
    // An answer leaves out the values of the version that the question named as known, so it must
    // not bring that version into force.
    if (push.version <= pending.known && push.version != gate_.version())
        return {};
    // The answer was made after the question, so counting its age back from the question puts the
    // confirmation too early rather than too late, whatever the link took.
    std::optional<TimePoint> confirmedAt;
    if (push.fresh)
        confirmedAt = pending.sentAt - push.age;
    return {gate_.update(push.version, push.values, confirmedAt), push.fresh};
}

ConfigurationPush makeConfigurationPush(const ConfigurationPull &pull,
                                        const ConfigurationGate &gate, TimePoint now)
{
    ConfigurationPush push;
    push.version = gate.version();
    push.stamp = pull.stamp;
    push.fresh = gate.admitsWork(now);
    if (push.fresh)
        push.age = now - *gate.confirmedAt();
    if (pull.known < gate.version())
        push.values = gate.values();
    return push;
}

} // namespace Oleander
