#pragma once

#include "Base/nametable.h"
#include "Records/record.h"

namespace Oleander::Records {

/** Words of the records' bodies. */
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
