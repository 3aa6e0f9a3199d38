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
 * \brief Decides which configuration is in force in one process and whether it may admit work.
 *
 * The version is the log index of the change and never goes down. A confirmation says that at some
 * instant a quorum of the control log held no higher version; work is admitted for one lease after
 * it. A new gate admits nothing until a confirmation of an instant after its own start: whatever
 * the process had in force before a restart was accepted before that instant, so it cannot fall
 * back.
 */
class ConfigurationGate
{
public:
    ConfigurationGate(Duration lease, TimePoint startedAt) : lease_(lease), startedAt_(startedAt) {}

    /**
     * Takes a configuration that some process holds; \a confirmedAt is the latest instant at which
     * a quorum is known to have held no higher one. A lower version than the own is ignored.
     * Returns true when the version in force changed.
     */
    bool update(std::uint64_t version, const ConfigurationValues &values,
                std::optional<TimePoint> confirmedAt);

    /** True while the own version is confirmed, so that work may be admitted. */
    bool admitsWork(TimePoint now) const;
    /** An error for whoever asks for work while none is admitted. */
    Result<void> checkAdmission(TimePoint now) const;
    /** Latest instant at which a quorum is known to have held no higher version. */
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
