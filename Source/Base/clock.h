#pragma once

#include <chrono>
#include <cstdint>

namespace Oleander {

/** Length of time; messages have microsecond resolution. */
using Duration = std::chrono::microseconds;

/** Clock tag of the monotonic time of one process. */
struct MonotonicTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTag>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/** Point in the monotonic time of one process; never sent to another process. */
using TimePoint = MonotonicTag::time_point;

/** Wall-clock time in milliseconds since the Unix epoch; for display only, never for leases. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/**
 * \class Clock
 * \brief Source of time for every package.
 *
 * The programs use the system clock of the event loop; tests use ManualClock, which changes only
 * when it is advanced.
 */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/**
 * \class ManualClock
 * \brief Clock for tests; its time changes only through advance() and setNow().
 */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override
    {
        return WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
    }

    void advance(Duration step) { now_ += step; }
    void setNow(TimePoint now) { now_ = now; }

private:
    TimePoint now_ = TimePoint(std::chrono::seconds(1));
};

} // namespace Oleander
