#include "Records/record.h"

#include "Base/nametable.h"
#include "Records/event.h"

namespace Oleander::Records {

namespace {

constexpr NameTable<RecordKind, 4> KindNames = {{
    {RecordKind::Service, "service"},
    {RecordKind::Batch, "batch"},
    {RecordKind::Drain, "drain"},
    {RecordKind::Configuration, "configuration"},
}};

constexpr NameTable<SubjectKind, 7> SubjectNames = {{
    {SubjectKind::Service, "service"},
    {SubjectKind::Batch, "batch"},
    {SubjectKind::Drain, "drain"},
    {SubjectKind::Configuration, "configuration"},
    {SubjectKind::Task, "task"},
    {SubjectKind::Worker, "worker"},
    {SubjectKind::Replica, "replica"},
}};

} // namespace

std::string_view kindName(RecordKind kind)
{
    return nameIn(KindNames, kind);
}

std::optional<RecordKind> kindFromName(std::string_view name)
{
    return valueIn(KindNames, name);
}

std::string allowedKinds()
{
    return allowedNames(KindNames);
}

std::string_view subjectName(SubjectKind kind)
{
    return nameIn(SubjectNames, kind);
}

} // namespace Oleander::Records
