#include "Routing/callerrequest.h"

#include "Base/nametable.h"

namespace Oleander {

namespace {

constexpr NameTable<Outcome, 3> OutcomeNames = {{
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
    {Outcome::Ran, "ran"},
}};

constexpr NameTable<MinionState, 3> MinionStateNames = {{
    {MinionState::Serving, "serving"},
    {MinionState::Draining, "draining"},
    {MinionState::Lapsed, "lapsed"},
}};

} // namespace

std::string_view minionStateName(MinionState state)
{
    return nameIn(MinionStateNames, state);
}

std::string_view outcomeName(Outcome outcome)
{
    return nameIn(OutcomeNames, outcome);
}

} // namespace Oleander
