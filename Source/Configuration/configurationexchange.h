#pragma once

#include "Configuration/configurationgate.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>

namespace Oleander {

/**
 * \class ConfigurationPuller
 * \brief Creates pull requests for the configuration and matches the replies to them; performs no
 * I/O.
 */
class ConfigurationPuller
{
public:
    explicit ConfigurationPuller(ConfigurationGate &gate) : gate_(gate) {}

    /** Creates the next pull request. */
    ConfigurationPull startPull(TimePoint now);

    /** Effect of a reply. */
    struct PushResult
    {
        /** A new version is in force. */
        bool changed = false;
        /** The sender's version is confirmed by a quorum. */
        bool confirmed = false;
    };

    /** Processes a reply; it is ignored unless it matches a pending pull request. */
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

/** Creates the reply to \a pull from the state of \a gate. */
ConfigurationPush makeConfigurationPush(const ConfigurationPull &pull,
                                        const ConfigurationGate &gate, TimePoint now);

} // namespace Oleander
