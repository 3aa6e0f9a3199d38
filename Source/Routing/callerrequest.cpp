#include "Routing/callerrequest.h"

#include "Base/nametable.h"

namespace Oleander {

namespace {

constexpr NameTable<Outcome, 3> OutcomeNames = {{
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
    {Outcome::Ran, "ran"},
}};

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return nameIn(OutcomeNames, outcome);
}

} // namespace Oleander
