#pragma once

#include <chrono>
#include <cstdint>

namespace Oleander {

/** Length of time; microseconds are the finest unit that any message carries. */
using Duration = std::chrono::microseconds;

/** Tag of the monotonic time line of one process. */
struct MonotonicTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTag>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/** Instant on the monotonic time line of one process; never sent to another process as such. */
using TimePoint = MonotonicTag::time_point;

/** Calendar time in milliseconds since the Unix epoch; shown to people, never compared for leases.
 */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/**
 * \class Clock
 * \brief Source of time for every package.
 *
 * The programs use the real clock of the runtime; tests use ManualClock, which stands still until
 * it is advanced.
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
 * \brief Clock that only moves when it is told to.
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
