#pragma once

#include "Runtime/statedump.h"
#include "State/controlstate.h"

namespace Oleander {

/**
 * \class EntryDump
 * \brief The parts of an entry's state dump that come from the control state.
 */
class EntryDump
{
public:
    explicit EntryDump(const State::ControlState &state);

private:
    DumpPart configuration_;
    DumpPart records_;
    DumpPart tasks_;
    DumpPart ledger_;
};

} // namespace Oleander
