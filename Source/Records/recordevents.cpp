#include "Records/recordevents.h"

#include <fmt/format.h>

namespace Oleander::Records {

namespace {

/** Describes the consequence of a created or amended record. */
struct FollowsInForce
{
    std::string operator()(const ServiceSpec &spec) const
    {
        return fmt::format("Its {} replicas are placed on workers with free capacity.",
                           spec.replicas);
    }
    std::string operator()(const BatchSpec &) const
    {
        return "The job waits in the queue until a worker can hold it.";
    }
    std::string operator()(const DrainSpec &spec) const
    {
        return fmt::format("Worker {} gets no new work and its tasks move away; withdraw the "
                           "record to give it back.",
                           spec.worker);
    }
    std::string operator()(const ConfigurationSpec &) const
    {
        return "The configuration spreads to every process; 'status' tells on whom it waits.";
    }
};

/** Describes the consequence of a withdrawal. */
struct FollowsWithdrawn
{
    std::string operator()(const ServiceSpec &) const { return "Its replicas are stopped."; }
    std::string operator()(const BatchSpec &) const
    {
        return "The job leaves the queue, or its attempt is stopped; it does not run again.";
    }
    std::string operator()(const DrainSpec &spec) const
    {
        return fmt::format("Worker {} may get work again.", spec.worker);
    }
    std::string operator()(const ConfigurationSpec &) const
    {
        return "Its values are taken back in every process; 'status' tells on whom it waits.";
    }
};

} // namespace

std::string keyText(const RecordKey &key)
{
    return fmt::format("{}/{}", kindName(key.kind), key.name);
}

EventDraft submittedEvent(const Record &record)
{
    const auto *drain = std::get_if<DrainSpec>(&record.spec);
    return {static_cast<SubjectKind>(record.kind), record.name,
            fmt::format("{} was {} by {} as revision {}.", keyText({record.kind, record.name}),
                        record.revision == 1 ? "submitted" : "amended", record.author,
                        record.revision),
            drain ? drain->reason : std::string(), std::visit(FollowsInForce{}, record.spec)};
}

EventDraft withdrawnEvent(const Record &record)
{
    return {static_cast<SubjectKind>(record.kind),
            record.name,
            fmt::format("{} was withdrawn by {}; that is revision {}.",
                        keyText({record.kind, record.name}), record.author, record.revision),
            {},
            std::visit(FollowsWithdrawn{}, record.spec)};
}

} // namespace Oleander::Records
