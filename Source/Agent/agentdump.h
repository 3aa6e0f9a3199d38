#pragma once

#include "Agent/requesttask.h"
#include "Agent/workertask.h"
#include "Runtime/statedump.h"

namespace Oleander {

/**
 * \class AgentDump
 * \brief State dump of an agent: its lease, the attempts on its worker, and request admission.
 */
class AgentDump
{
public:
    AgentDump(const RequestTask &requests, const WorkerTask &worker);

private:
    DumpSection lease_;
    DumpSection attempts_;
    DumpSection requests_;
};

} // namespace Oleander
