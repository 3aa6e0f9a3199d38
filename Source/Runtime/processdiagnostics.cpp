#include "Runtime/processdiagnostics.h"

#include "Runtime/log.h"
#include "Runtime/statedump.h"

namespace Oleander {

namespace {

constexpr Duration FlushInterval = std::chrono::seconds(1);

} // namespace

ProcessDiagnostics::ProcessDiagnostics(EventLoop &loop)
    : flush_(loop, [] { processLog().flushSuppressedCounts(); })
{
    dumpStateOnSignal(loop);
    flush_.startEvery(FlushInterval);
}

} // namespace Oleander
