#pragma once

#include "Runtime/eventloop.h"

namespace Oleander {

/**
 * \class ProcessDiagnostics
 * \brief What every process does for whoever watches it: a state dump on SIGUSR1, and the counts
 * of log lines left out once their second is over.
 */
class ProcessDiagnostics
{
public:
    explicit ProcessDiagnostics(EventLoop &loop);

private:
    Timer flush_;
};

} // namespace Oleander
