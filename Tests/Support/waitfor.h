#pragma once

#include <chrono>
#include <functional>

namespace Oleander::Testing {

/** Limit within which any machine, however busy, should meet a condition. */
constexpr std::chrono::milliseconds GenerousLimit = std::chrono::seconds(60);

/** Looks at \a condition again and again; returns false when it does not hold by the limit. */
bool waitFor(const std::function<bool()> &condition,
             std::chrono::milliseconds limit = GenerousLimit);

} // namespace Oleander::Testing
