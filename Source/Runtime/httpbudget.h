#pragma once

#include "Runtime/requestbudget.h"

namespace Oleander {

/** Limits of the HTTP servers of one process together. */
struct HttpSettings
{
    /** Bytes held for requests and responses of all doors. */
    std::uint64_t requestBudget = 48U << 20U;
    /** Descriptors that connections of the doors leave to links, files and clients. */
    std::uint64_t reservedDescriptors = 256;
};

/** Returns the number of connections that \a settings leave under the process's descriptor limit.
 */
std::size_t connectionLimit(const HttpSettings &settings);

/**
 * \class HttpBudget
 * \brief The request budget of one process: reports it as metrics and log events and returns memory
 * to the operating system after a peak.
 */
class HttpBudget
{
public:
    explicit HttpBudget(const HttpSettings &settings = {});

    RequestBudget &decisions() { return decisions_; }

    /** Updates metrics, logs new refusals and returns unused memory; servers call it regularly. */
    void report(TimePoint now);

private:
    void logRefusals(TimePoint now);
    void returnMemory(TimePoint now);

    RequestBudget decisions_;
    std::array<std::uint64_t, RefusalReasonCount> reported_{};
    std::array<std::uint64_t, RefusalReasonCount> logged_{};
    std::size_t peakBytes_ = 0;
    TimePoint lastLog_;
    TimePoint lastTrim_;
    /** Last time at which many bytes were held, or few had been since the last trim. */
    TimePoint lowSince_;
};

} // namespace Oleander
