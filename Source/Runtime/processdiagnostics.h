#pragma once

#include "Runtime/eventloop.h"

namespace Oleander {

/**
 * \class ProcessDiagnostics
 * \brief Diagnostics of every process: dumps its state on SIGUSR1 and logs, once a second, how many
 * log lines were suppressed.
 */
class ProcessDiagnostics
{
public:
    explicit ProcessDiagnostics(EventLoop &loop);

private:
    Timer flush_;
};

} // namespace Oleander
