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
    DumpSection configuration_;
    DumpSection records_;
    DumpSection tasks_;
    DumpSection ledger_;
};

} // namespace Oleander
