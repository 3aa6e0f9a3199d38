#include "Configuration/configurationgate.h"

#include <algorithm>

namespace Oleander {

bool ConfigurationGate::update(std::uint64_t version, const ConfigurationValues &values,
                               std::optional<TimePoint> confirmedAt)
{
    if (version < version_)
        return false;
    const bool isNew = version > version_;
    if (isNew) {
        version_ = version;
        values_ = values;
    }
    // Confirmations may arrive out of order; only the latest time counts.
    if (confirmedAt)
        confirmedAt_ = std::max(confirmedAt_.value_or(*confirmedAt), *confirmedAt);
    return isNew;
}

bool ConfigurationGate::admitsWork(TimePoint now) const
{
    return confirmedAt_ && *confirmedAt_ >= startedAt_ && now < *confirmedAt_ + lease_;
}

Result<void> ConfigurationGate::checkAdmission(TimePoint now) const
{
    if (admitsWork(now))
        return {};
    return fail(Failure::StaleConfiguration, Step::Admit, {},
                "This process has not confirmed within its lease that its configuration is the one "
                "in force, so it admits no work; nothing was run.");
}

} // namespace Oleander
