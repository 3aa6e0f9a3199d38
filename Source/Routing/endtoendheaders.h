#pragma once

#include "Protocol/messages.h"

#include <string_view>
#include <vector>

namespace Oleander {

/** Compares two header names or tokens; their case does not matter. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/**
 * Leaves out the header fields that concern one connection only (RFC 9110, 7.6.1), those that the
 * Connection field names, and Content-Length, which each hop sets for the body that it sends.
 */
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers);

} // namespace Oleander
