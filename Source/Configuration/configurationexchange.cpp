#include "Configuration/configurationexchange.h"

namespace Oleander {

namespace {

/** Maximum number of pull requests whose replies are still accepted. */
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
    // A reply omits the values if the request names its version as known, so it must not bring that
    // version into force.
    if (push.version <= pending.known && push.version != gate_.version())
        return {};
    // The reply was created after the request. Subtracting its age from the sending time of the
    // request therefore never dates the confirmation too late, whatever the network delay.
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
    if (pull.knownVersion < gate.version())
        push.values = gate.values();
    return push;
}

} // namespace Oleander
