#pragma once

#include "Configuration/configurationgate.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>

namespace Oleander {

/**
 * \class ConfigurationPuller
 * \brief The asking side of the exchange of configurations, without any input or output.
 */
class ConfigurationPuller
{
public:
    explicit ConfigurationPuller(ConfigurationGate &gate) : gate_(gate) {}

    /** Makes the next pull request. */
    ConfigurationPull startPull(TimePoint now);

    /** What an answer changed. */
    struct PushResult
    {
        /** Another version came into force. */
        bool changed = false;
        /** The answer was confirmed by a quorum. */
        bool confirmed = false;
    };

    /** Takes an answer; one that belongs to no open question is ignored. */
    PushResult handlePush(const ConfigurationPush &push);

private:
    struct PendingPull
    {
        TimePoint sentAt{};
        std::uint64_t known = 0;
    };

    ConfigurationGate &gate_;
    std::map<std::uint64_t, PendingPull> pendingPulls_;
    std::uint64_t lastStamp_ = 0;
};

/** Makes the answer of a process with \a gate. */
ConfigurationPush makeConfigurationPush(const ConfigurationPull &pull,
                                        const ConfigurationGate &gate, TimePoint now);

} // namespace Oleander
