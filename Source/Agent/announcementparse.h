#pragma once

#include "Base/error.h"
#include "Routing/requestadmission.h"

#include <string>

namespace Oleander {

/**
 * Parses the JSON body of an announcement: service, address, slots, connections, ttl_ms, and
 * optionally busy. An error names the field, its value and the allowed values.
 */
Result<MinionAnnouncement> parseAnnouncement(const std::string &name, const std::string &body,
                                             Duration maxTimeToLive);

} // namespace Oleander
