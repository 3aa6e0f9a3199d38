#pragma once

#include "Entry/routertask.h"
#include "Runtime/statedump.h"
#include "State/controlstate.h"

namespace Oleander {

/**
 * \class EntryDump
 * \brief The parts of an entry's state dump that come from the control state and the router.
 */
class EntryDump
{
public:
    EntryDump(const State::ControlState &state, const RouterTask &router);

private:
    DumpPart configuration_;
    DumpPart records_;
    DumpPart tasks_;
    DumpPart ledger_;
    DumpPart requests_;
    DumpPart minions_;
};

} // namespace Oleander
