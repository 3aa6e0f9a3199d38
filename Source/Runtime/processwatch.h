#pragma once

#include "Runtime/eventloop.h"

namespace Oleander {

/**
 * \class ProcessWatch
 * \brief What every process does for whoever watches it: a state dump on SIGUSR1, and the counts
 * of log lines left out once their second is over.
 */
class ProcessWatch
{
public:
    explicit ProcessWatch(EventLoop &loop);

private:
    Timer flush_;
};

} // namespace Oleander
