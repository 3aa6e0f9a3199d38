#pragma once

#include "Base/error.h"

#include <string>
#include <string_view>

namespace Oleander {

/** True if \a name can be the name of a failure domain: it fits into one segment of a path and into
 * a comma-separated list. */
bool isFailureDomainName(std::string_view name);

/** Returns the failure domain named by the percent-encoded path segment \a segment. */
Result<std::string> failureDomainFromPath(std::string_view segment);

} // namespace Oleander
