#pragma once

#include "Base/clock.h"
#include "Protocol/fields.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Oleander::Records {

/** Kind of the object that an event describes. */
enum class SubjectKind { Service, Batch, Drain, Configuration, Task, Worker, Replica };

/** Returns the name of \a kind in answers. */
std::string_view subjectName(SubjectKind kind);

/**
 * \struct EventDraft
 * \brief An event for operators, before it has a number and a time.
 *
 * Each text is a full sentence or empty.
 */
struct EventDraft
{
    SubjectKind subject = SubjectKind::Service;
    /** Name of the record, task, worker or replica. */
    std::string name;
    std::string what;
    std::string why;
    /** Next action of the system, or the action required from the operator. */
    std::string follows;

    bool operator==(const EventDraft &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<EventDraft> auto &&v)
{
    f(v.subject);
    f(v.name);
    f(v.what);
    f(v.why);
    f(v.follows);
}

/** An event in the replicated history; numbers start at 1 and have no gaps. */
struct Event
{
    std::uint64_t number = 0;
    /** Log index of the command that caused the event. */
    std::uint64_t index = 0;
    WallTime time{};
    EventDraft draft;

    bool operator==(const Event &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<Event> auto &&v)
{
    f(v.number);
    f(v.index);
    f(v.time);
    f(v.draft);
}

} // namespace Oleander::Records
