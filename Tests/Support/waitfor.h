#pragma once

#include <chrono>
#include <functional>

namespace Oleander::Testing {

/** Default time limit of waitFor(), long enough for a busy machine. */
constexpr std::chrono::milliseconds GenerousLimit = std::chrono::seconds(60);

/** Polls \a condition until it holds; returns false if it does not within \a limit. */
bool waitFor(const std::function<bool()> &condition,
             std::chrono::milliseconds limit = GenerousLimit);

} // namespace Oleander::Testing
