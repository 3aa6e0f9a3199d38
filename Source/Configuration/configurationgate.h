#pragma once

#include "Base/clock.h"
#include "Base/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Oleander {

/** Named values of a configuration. */
using ConfigurationValues = std::map<std::string, std::string>;

/**
 * \class ConfigurationGate
 * \brief Determines which configuration is in force in a process and whether it may admit work.
 *
 * The version is the log index of the last change and never decreases. A confirmation states that
 * at a given time a quorum of the control log had no higher version; work is admitted for one lease
 * after that time. A new gate admits no work until a version is confirmed for a time after its own
 * start. Every version that was in force before a restart was accepted before that time, so the
 * process cannot fall back to an older one.
 */
class ConfigurationGate
{
public:
    ConfigurationGate(Duration lease, TimePoint startedAt) : lease_(lease), startedAt_(startedAt) {}

    /**
     * Applies a configuration received from another process or the log. \a confirmedAt is the
     * latest time at which a quorum is known to have had no higher version. Versions lower than the
     * current one are ignored. Returns true if the version in force changed.
     */
    bool update(std::uint64_t version, const ConfigurationValues &values,
                std::optional<TimePoint> confirmedAt);

    /** True while the confirmation of the current version is valid and work may be admitted. */
    bool admitsWork(TimePoint now) const;
    /** Returns an error if no work may be admitted. */
    Result<void> checkAdmission(TimePoint now) const;
    /** Latest time at which a quorum is known to have had no higher version. */
    std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }
    Duration lease() const { return lease_; }
    std::uint64_t version() const { return version_; }
    const ConfigurationValues &values() const { return values_; }

private:
    Duration lease_;
    TimePoint startedAt_;
    std::uint64_t version_ = 0;
    ConfigurationValues values_;
    std::optional<TimePoint> confirmedAt_;
};

} // namespace Oleander
