#pragma once

#include "Placement/taskbook.h"

#include <string>

namespace Oleander::Testing {

/** A TaskBook with helper functions for the commands that tests apply. */
struct BookFixture
{
    Placement::TaskBook book;
    Placement::EventDrafts drafts;
    WallTime now{std::chrono::seconds(1000)};

    Placement::TaskOutcome apply(const Placement::TaskCommand &command)
    {
        return book.apply(command, drafts);
    }

    void addWorker(const std::string &name, Resources capacity = {4000, 8192, 1})
    {
        apply(Placement::RegisterWorker{name, {"r", "d", "k"}, capacity, {}, now});
    }

    void submit(const std::string &name, Records::BatchSpec spec)
    {
        setRecord(Records::RecordKind::Batch, name, spec, false);
    }

    void withdraw(Records::RecordKind kind, const std::string &name, Records::Spec spec)
    {
        setRecord(kind, name, std::move(spec), true);
    }

    void setRecord(Records::RecordKind kind, const std::string &name, Records::Spec spec,
                   bool withdrawn)
    {
        Records::Record record;
        record.kind = kind;
        record.name = name;
        record.revision = ++revision;
        record.spec = std::move(spec);
        record.withdrawn = withdrawn;
        record.changedAt = now;
        book.recordChanged(record, drafts);
    }

    bool place(const std::string &task, const std::string &worker)
    {
        const auto *found = book.worker(worker);
        return apply(Placement::PlaceTasks{
                         {{task, book.task(task)->attempt + 1, worker, found ? found->session : 0}},
                         now})
            .accepted();
    }

    void report(const std::string &worker, const std::string &task, std::uint32_t attempt,
                AttemptState state, std::uint64_t checkpoint = 0)
    {
        Placement::ReportTasks command{worker, {}, std::chrono::seconds(30), now};
        command.attempts.push_back({{task, attempt, state, "", checkpoint}, {}});
        apply(command);
    }

    const Placement::Task &task(const std::string &id) const { return book.tasks().at(id); }

    /** Returns true if an event for \a name contains \a expected. */
    bool hasEvent(const std::string &name, const std::string &expected) const
    {
        for (const auto &draft : drafts) {
            const std::string text = draft.what + " " + draft.why + " " + draft.follows;
            if (draft.name == name && text.find(expected) != std::string::npos)
                return true;
        }
        return false;
    }

    std::uint64_t revision = 0;
};

inline Records::BatchSpec batchOf(Resources declared = {1000, 1024, 0})
{
    Records::BatchSpec spec;
    spec.team = "archive";
    spec.declared = declared;
    return spec;
}

} // namespace Oleander::Testing
