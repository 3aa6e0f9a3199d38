#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** Progress of a configuration version across all processes, as known to one entry. */
struct ConfigurationRollout
{
    /** Version in force at this entry. */
    std::uint64_t version = 0;
    /** True while this entry's version is confirmed, so that this entry admits work. */
    bool isConfirmedLocally = false;
    /** Processes known to have the version, including this entry. */
    std::vector<std::string> inForce;
    /** Processes that may still admit work under an older version. */
    std::vector<std::string> waitingFor;
    /** Processes with an older version whose lease has expired: they refuse work until they receive
     * this version. */
    std::vector<std::string> leaseExpired;
    /** False while a process that has not contacted this entry since its start may still hold a
     * lease on an older version. */
    bool knowsAllProcesses = true;

    /** True when no process admits work under an older version. */
    bool isInForceEverywhere() const
    {
        return isConfirmedLocally && knowsAllProcesses && waitingFor.empty();
    }
};

} // namespace Oleander
