#include "Records/timetext.h"

#include <fmt/chrono.h>

namespace Oleander::Records {

std::string timeText(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds.time_since_epoch().count()));
}

} // namespace Oleander::Records
