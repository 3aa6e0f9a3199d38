#pragma once

#include "Base/nametable.h"
#include "Records/record.h"

namespace Oleander::Records {

/** Names of the enumerators in the bodies of records. */
constexpr NameTable<Spread, 3> SpreadNames = {{
    {Spread::FailureDomain, "failure-domain"},
    {Spread::Rack, "rack"},
    {Spread::Anywhere, "anywhere"},
}};

constexpr NameTable<Urgency, 2> UrgencyNames = {{
    {Urgency::Ordinary, "ordinary"},
    {Urgency::Urgent, "urgent"},
}};

} // namespace Oleander::Records
