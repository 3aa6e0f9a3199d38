#pragma once

#include <string>
#include <string_view>

namespace Oleander {

/**
 * Makes external input safe for error messages: printable ASCII is kept, every other byte becomes
 * "\xNN", and the rest of overlong input is replaced by "...".
 */
std::string printable(std::string_view bytes);

} // namespace Oleander
