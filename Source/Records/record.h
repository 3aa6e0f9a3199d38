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

/** Kinds of records; the index of the matching alternative of Spec. */
enum class RecordKind { Service, Batch, Drain, Configuration };

/** Returns the word that paths and bodies use for \a kind. */
std::string_view kindName(RecordKind kind);
/** Returns the kind called \a name, or nothing. */
std::optional<RecordKind> kindFromName(std::string_view name);
/** Lists the kinds for error messages. */
std::string allowedKinds();

/** Over which places the replicas of a service are spread. */
enum class Spread { FailureDomain, Rack, Anywhere };

/** How soon a batch job is wanted. */
enum class Urgency { Ordinary, Urgent };

/** A service that is to keep answering. */
struct ServiceSpec
{
    std::string team;
    /** Declared size of one replica. */
    Resources declared;
    std::uint32_t replicas = 1;
    /** Command line or image reference, passed to the worker untouched. */
    std::string payload;
    Spread spread = Spread::FailureDomain;
    /** Wanted p99 of the service's answers; 0 states none. */
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

/** A job that is to finish. */
struct BatchSpec
{
    std::string team;
    Resources declared;
    std::string payload;
    Urgency urgency = Urgency::Ordinary;
    /** True when an attempt may start again from the beginning if it left no checkpoint. */
    bool idempotent = true;
    /** Failed attempts on healthy workers after which the job is held; at least 1. */
    std::uint32_t maxAttempts = 3;
    /** Declared run time; 0 states none. */
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

/** A worker that is to be emptied and kept empty until the record is withdrawn. */
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

/** Values that are to be in force in every process. */
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

/** What a record asks for; the order of the alternatives is that of RecordKind. */
using Spec = std::variant<ServiceSpec, BatchSpec, DrainSpec, ConfigurationSpec>;

/** Kind of the record that \a spec belongs to. */
inline RecordKind kindOf(const Spec &spec)
{
    return static_cast<RecordKind>(spec.index());
}

/** Kind and name: what identifies a record. */
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
 * \brief One record of the operators as it is in force.
 *
 * A withdrawn record is kept, with \a withdrawn set, so that its revision goes on counting.
 */
struct Record
{
    RecordKind kind = RecordKind::Service;
    std::string name;
    /** Schema version under which the record was written. */
    std::uint32_t schema = 2;
    /** Counts the accepted changes of this record from 1. */
    std::uint64_t revision = 0;
    /** Operator who made the last change. */
    std::string author;
    Spec spec;
    bool withdrawn = false;
    /** Log index of the last change. */
    std::uint64_t index = 0;
    /** Calendar time of the last change, as the accepting entry saw it. */
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
