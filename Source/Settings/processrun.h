#pragma once

#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "Settings/exitcode.h"

#include <functional>

namespace Oleander {

/**
 * Calls \a start, logs the start of the process and runs \a loop until it is stopped.
 *
 * If \a start fails, logs the error and returns its exit code without running the loop.
 */
ExitCode runProcess(EventLoop &loop, const Messenger &messenger,
                    const std::function<Result<void>()> &start);

} // namespace Oleander
