#include "Runtime/processwatch.h"

#include "Runtime/log.h"
#include "Runtime/statedump.h"

namespace Oleander {

namespace {

constexpr Duration FlushInterval = std::chrono::seconds(1);

} // namespace

ProcessWatch::ProcessWatch(EventLoop &loop) : flush_(loop, [] { processLog().flushLeftOut(); })
{
    dumpStateOnSignal(loop);
    flush_.startEvery(FlushInterval);
}

} // namespace Oleander
