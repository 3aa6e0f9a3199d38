#include "Records/change.h"

#include "Base/nametable.h"

namespace Oleander::Records {

namespace {

constexpr NameTable<ChangeResult, 9> ChangeNames = {{
    {ChangeResult::Created, "created"},
    {ChangeResult::Amended, "amended"},
    {ChangeResult::Unchanged, "unchanged"},
    {ChangeResult::Withdrawn, "withdrawn"},
    {ChangeResult::Conflict, "conflict"},
    {ChangeResult::Missing, "missing"},
    {ChangeResult::AlreadyWithdrawn, "already-withdrawn"},
    {ChangeResult::KeyReused, "key-reused"},
    {ChangeResult::Refused, "refused"},
}};

} // namespace

std::string_view changeResultName(ChangeResult result)
{
    return nameIn(ChangeNames, result);
}

bool isAccepted(ChangeResult result)
{
    return result == ChangeResult::Created || result == ChangeResult::Amended
           || result == ChangeResult::Unchanged || result == ChangeResult::Withdrawn
           || result == ChangeResult::AlreadyWithdrawn;
}

} // namespace Oleander::Records
