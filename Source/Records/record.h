#pragma once

#include "Base/clock.h"
#include "Protocol/fields.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace Oleander::Records {

/** Kind of a record; equal to the index of its alternative in Spec. */
enum class RecordKind { Service, Batch, Drain, Configuration };

/** Returns the name of \a kind in paths and bodies. */
std::string_view kindName(RecordKind kind);
/** Returns the kind named \a name, or nothing. */
std::optional<RecordKind> kindFromName(std::string_view name);
/** Lists the kinds for error messages. */
std::string allowedKinds();

/** Level of the topology across which the replicas of a service are spread. */
enum class Spread { FailureDomain, Rack, Anywhere };

/** Priority class of a batch job. */
enum class Urgency { Ordinary, Urgent };

/** A latency-critical service with a constant number of running replicas. */
struct ServiceSpec
{
    std::string team;
    /** Resources requested for one replica. */
    Resources declared;
    std::uint32_t replicas = 1;
    /** Command line or image reference, passed to the worker unchanged. */
    std::string payload;
    Spread spread = Spread::FailureDomain;
    /** Target p99 latency of the service; 0 if not specified. */
    Duration latencyTarget{};

    bool operator==(const ServiceSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<ServiceSpec> auto &&v)
{
    f(v.team);
    f(v.declared);
    f(v.replicas);
    f(v.payload);
    f(v.spread);
    f(v.latencyTarget);
}

/** A batch job that runs to completion. */
struct BatchSpec
{
    std::string team;
    Resources declared;
    std::string payload;
    Urgency urgency = Urgency::Ordinary;
    /** True if an attempt without a checkpoint may be restarted from the beginning. */
    bool idempotent = true;
    /** Number of failed attempts on healthy workers after which the job is held; at least 1. */
    std::uint32_t maxAttempts = 3;
    /** Expected run time; 0 if not specified. */
    Duration expectedDuration{};

    bool operator==(const BatchSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<BatchSpec> auto &&v)
{
    f(v.team);
    f(v.declared);
    f(v.payload);
    f(v.urgency);
    f(v.idempotent);
    f(v.maxAttempts);
    f(v.expectedDuration);
}

/** A worker to drain; it accepts no tasks until the record is withdrawn. */
struct DrainSpec
{
    std::string worker;
    std::string reason;

    bool operator==(const DrainSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<DrainSpec> auto &&v)
{
    f(v.worker);
    f(v.reason);
}

/** Configuration values for every process. */
struct ConfigurationSpec
{
    std::map<std::string, std::string> values;

    bool operator==(const ConfigurationSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<ConfigurationSpec> auto &&v)
{
    f(v.values);
}

/** Content of a record; the alternatives are in the order of RecordKind. */
using Spec = std::variant<ServiceSpec, BatchSpec, DrainSpec, ConfigurationSpec>;

/** Returns the kind of a record with the content \a spec. */
inline RecordKind kindOf(const Spec &spec)
{
    return static_cast<RecordKind>(spec.index());
}

/** Identifies a record by kind and name. */
struct RecordKey
{
    RecordKind kind = RecordKind::Service;
    std::string name;

    bool operator==(const RecordKey &) const = default;
    bool operator<(const RecordKey &other) const
    {
        return std::tie(kind, name) < std::tie(other.kind, other.name);
    }
};

template<typename F>
void visitFields(F &&f, Fields<RecordKey> auto &&v)
{
    f(v.kind);
    f(v.name);
}

/**
 * \struct Record
 * \brief Latest revision of one record that operators submitted.
 *
 * A withdrawn record remains stored with \a withdrawn set, so that its next revision is higher.
 */
struct Record
{
    RecordKind kind = RecordKind::Service;
    std::string name;
    /** Schema version under which the record was written. */
    std::uint32_t schema = 2;
    /** Starts at 1 and increases with each accepted change, including a withdrawal. */
    std::uint64_t revision = 0;
    /** Operator who made the last change. */
    std::string author;
    Spec spec;
    bool withdrawn = false;
    /** Log index of the last change. */
    std::uint64_t index = 0;
    /** Calendar time of the last change, by the clock of the entry that received it. */
    WallTime changedAt{};

    bool operator==(const Record &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<Record> auto &&v)
{
    f(v.kind);
    f(v.name);
    f(v.schema);
    f(v.revision);
    f(v.author);
    f(v.spec);
    f(v.withdrawn);
    f(v.index);
    f(v.changedAt);
}

} // namespace Oleander::Records
