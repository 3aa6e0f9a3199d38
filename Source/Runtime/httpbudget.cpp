#include "Runtime/httpbudget.h"

#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace Oleander {

namespace {

// Two lines of one second would tell nothing more: each has the count since the one before.
constexpr Duration LogInterval = std::chrono::seconds(1);
// malloc_trim visits the whole heap, which takes milliseconds.
constexpr Duration TrimInterval = std::chrono::seconds(5);
// libevent frees a connection only after the budget has released its bytes.
constexpr Duration TrimDelay = std::chrono::seconds(1);
// Less is not worth the time that malloc_trim takes.
constexpr std::size_t MinTrimPeak = 4U << 20U;

} // namespace

std::size_t connectionLimit(const HttpSettings &settings)
{
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return RequestBudgetLimits().maxConnections;
    const std::size_t limit = descriptors.rlim_cur;
    // With a low descriptor limit, connections get half of it.
    return std::max(limit - std::min<std::size_t>(limit, settings.reservedDescriptors), limit / 2);
}

HttpBudget::HttpBudget(const HttpSettings &settings)
    : decisions_({settings.requestBudget, connectionLimit(settings)})
{}

void HttpBudget::report(TimePoint now)
{
    auto &metrics = processMetrics();
    metrics.gauge("oleander_http_held_bytes", "Bytes held for HTTP requests and responses.")
        .set(static_cast<double>(decisions_.heldBytes()));
    metrics.gauge("oleander_http_connections", "Open connections of HTTP clients.")
        .set(static_cast<double>(decisions_.openConnections()));
    for (std::size_t i = 0; i < RefusalReasonCount; ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        const std::uint64_t count = decisions_.refusals(reason);
        if (count == reported_.at(i))
            continue;
        metrics
            .counter("oleander_http_refusals_total",
                     "HTTP requests refused and connections closed by a limit, by reason.",
                     {{"reason", std::string(refusalReasonName(reason))}})
            .add(count - reported_.at(i));
        reported_.at(i) = count;
    }
    logRefusals(now);
    returnMemory(now);
}

void HttpBudget::logRefusals(TimePoint now)
{
    if (logged_ == reported_ || now - lastLog_ < LogInterval)
        return;
    lastLog_ = now;
    for (std::size_t i = 0; i < RefusalReasonCount; ++i) {
        if (logged_.at(i) == reported_.at(i))
            continue;
        logEvent(LogEvent::RequestsRefused, Step::Accept, {},
                 {{"reason", refusalReasonName(static_cast<RefusalReason>(i))},
                  {"count", reported_.at(i) - logged_.at(i)},
                  {"held_bytes", decisions_.heldBytes()},
                  {"connections", decisions_.openConnections()}});
        logged_.at(i) = reported_.at(i);
    }
}

void HttpBudget::returnMemory(TimePoint now)
{
    const std::size_t held = decisions_.heldBytes();
    peakBytes_ = std::max(peakBytes_, held);
    if (peakBytes_ < MinTrimPeak || held > peakBytes_ / 4) {
        lowSince_ = now;
        return;
    }
    if (now - lowSince_ < TrimDelay || now - lastTrim_ < TrimInterval)
        return;
    lastTrim_ = now;
    peakBytes_ = held;
    malloc_trim(0);
}

} // namespace Oleander
