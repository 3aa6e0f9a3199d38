#pragma once

#include <string>
#include <string_view>

namespace Oleander {

/**
 * Makes bytes from outside fit for an error text: printable ASCII stays, every other byte becomes
 * "\xNN", and whatever goes beyond a bound is cut with "...".
 */
std::string printable(std::string_view bytes);

} // namespace Oleander
