#pragma once

#include "Protocol/messages.h"

#include <string_view>
#include <vector>

namespace Oleander {

/** Compares two header names or tokens, ignoring ASCII case. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/**
 * Returns \a headers without the hop-by-hop fields (RFC 9110, section 7.6.1), the fields listed in
 * Connection, and Content-Length, which each hop sets for the body that it sends.
 */
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers);

} // namespace Oleander
