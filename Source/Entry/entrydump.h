#pragma once

#include "Runtime/statedump.h"
#include "State/controlstate.h"

namespace Oleander {

/**
 * \class EntryDump
 * \brief Sections of an entry's state dump that are built from the control state.
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
