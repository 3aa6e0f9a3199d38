#include "Settings/processrun.h"

#include "Runtime/log.h"

namespace Oleander {

ExitCode runProcess(EventLoop &loop, const Messenger &messenger,
                    const std::function<Result<void>()> &start)
{
    if (const auto started = start(); !started) {
        logEvent(LogEvent::StartFailed, started.error());
        return exitCodeOf(started.error().code);
    }
    logEvent(LogEvent::ProcessStarted, Step::None, messenger.name(),
             {{"incarnation", messenger.incarnation()}});
    loop.run();
    logEvent(LogEvent::ProcessStopped, Step::None, messenger.name(), {});
    return ExitCode::Success;
}

} // namespace Oleander
