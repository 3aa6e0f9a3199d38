#include "Support/waitfor.h"

#include <thread>

namespace Oleander::Testing {

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds Pause(5);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return condition();
        std::this_thread::sleep_for(Pause);
    }
    return true;
}

} // namespace Oleander::Testing
