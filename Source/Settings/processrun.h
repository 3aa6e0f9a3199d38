#pragma once

#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "Settings/exitcode.h"

#include <functional>

namespace Oleander {

/**
 * Starts a process's tasks, logs that it serves, and runs its loop until it is stopped.
 *
 * A failed \a start is logged and gives the exit code of its error; the loop does not run then.
 */
ExitCode runProcess(EventLoop &loop, const Messenger &messenger,
                    const std::function<Result<void>()> &start);

} // namespace Oleander
