#include "Records/parse.h"

#include "Base/printable.h"
#include "Protocol/jsonreader.h"
#include "Protocol/resourcelimits.h"
#include "Records/fieldreader.h"
#include "Records/specnames.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace Oleander::Records {

namespace {

using Json = nlohmann::json;

constexpr JsonLimits Limits = {.maxDepth = 4};
constexpr std::size_t MaxErrors = 20;
constexpr std::size_t MaxPayloadBytes = 64UL * 1024;
constexpr std::size_t MaxReasonBytes = 1024;
constexpr std::size_t MaxValues = 256;
constexpr std::size_t MaxValueBytes = 4096;
constexpr std::size_t MaxAuthorBytes = 128;
constexpr std::uint64_t MaxReplicas = 10000;
constexpr std::uint64_t MaxAttempts = 100;
constexpr std::uint64_t MaxLatencyMs = 3600UL * 1000;
constexpr std::uint64_t MaxExpectedSeconds = 366UL * 24 * 3600;
constexpr std::uint64_t MilliCoresPerCore = 1000;
constexpr std::uint64_t MiBPerGiB = 1024;
constexpr std::uint64_t MaxCores = MaxMilliCores / MilliCoresPerCore;
constexpr std::uint64_t MaxMemoryGiB = MaxMemoryMiB / MiBPerGiB;

/** Parser callback that rejects duplicate names, which nlohmann would drop. */
class StructureCheck
{
public:
    explicit StructureCheck(std::vector<std::string> &errors) : errors_(errors) {}

    bool operator()(int, Json::parse_event_t event, Json &value)
    {
        if (event == Json::parse_event_t::object_start)
            names_.emplace_back();
        if (event == Json::parse_event_t::object_end)
            names_.pop_back();
        if (event == Json::parse_event_t::key)
            checkName(value.get<std::string>());
        return true;
    }

private:
    void checkName(const std::string &name)
    {
        if (!names_.back().insert(name).second) {
            errors_.push_back(
                fmt::format("Field {} appears twice in one object; allowed is each field once.",
                            displayText(name)));
        }
    }

    std::vector<std::string> &errors_;
    std::vector<std::set<std::string>> names_;
};

std::uint32_t toUint32(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

Resources parseSchema1Resources(FieldReader &fields)
{
    Resources declared;
    declared.milliCores = toUint32(fields.number("cores", 1, MaxCores) * MilliCoresPerCore);
    declared.memoryMiB = fields.number("memory-gib", 1, MaxMemoryGiB) * MiBPerGiB;
    declared.accelerators = toUint32(fields.number("accelerators", 0, MaxAccelerators, 0));
    return declared;
}

Resources parseResources(FieldReader &fields)
{
    auto inner = fields.object("resources");
    Resources declared;
    declared.milliCores = toUint32(inner.number("milli-cores", 1, MaxMilliCores));
    declared.memoryMiB = inner.number("memory-mib", 1, MaxMemoryMiB);
    declared.accelerators = toUint32(inner.number("accelerators", 0, MaxAccelerators, 0));
    inner.finish();
    return declared;
}

Spec parseService1(FieldReader &fields)
{
    ServiceSpec spec;
    spec.team = fields.name("team");
    spec.declared = parseSchema1Resources(fields);
    spec.replicas = toUint32(fields.number("replicas", 1, MaxReplicas, 1));
    spec.payload = fields.text("command", MaxPayloadBytes);
    return spec;
}

Spec parseService2(FieldReader &fields)
{
    ServiceSpec spec;
    spec.team = fields.name("team");
    spec.declared = parseResources(fields);
    spec.replicas = toUint32(fields.number("replicas", 1, MaxReplicas, 1));
    spec.payload = fields.text("payload", MaxPayloadBytes);
    spec.spread = fields.enumValue("spread", SpreadNames, spec.spread);
    spec.latencyTarget =
        std::chrono::milliseconds(fields.number("latency-target-ms", 1, MaxLatencyMs, 0));
    return spec;
}

Spec parseBatch1(FieldReader &fields)
{
    BatchSpec spec;
    spec.team = fields.name("team");
    spec.declared = parseSchema1Resources(fields);
    spec.payload = fields.text("command", MaxPayloadBytes);
    spec.urgency = fields.boolean("urgent", false) ? Urgency::Urgent : Urgency::Ordinary;
    return spec;
}

Spec parseBatch2(FieldReader &fields)
{
    BatchSpec spec;
    spec.team = fields.name("team");
    spec.declared = parseResources(fields);
    spec.payload = fields.text("payload", MaxPayloadBytes);
    spec.urgency = fields.enumValue("urgency", UrgencyNames, spec.urgency);
    spec.idempotent = fields.boolean("idempotent", spec.idempotent);
    spec.maxAttempts = toUint32(fields.number("max-attempts", 1, MaxAttempts, spec.maxAttempts));
    spec.expectedDuration =
        std::chrono::seconds(fields.number("expected-seconds", 1, MaxExpectedSeconds, 0));
    return spec;
}

Spec parseDrain(FieldReader &fields, std::string_view workerField)
{
    DrainSpec spec;
    spec.worker = fields.name(workerField);
    spec.reason = fields.text("reason", MaxReasonBytes);
    return spec;
}

Spec parseConfiguration(FieldReader &fields, std::string_view valuesField)
{
    return ConfigurationSpec{fields.stringMap(valuesField, MaxValues, MaxValueBytes)};
}

Spec parseSpec(RecordKind kind, std::uint64_t schema, FieldReader &fields)
{
    const bool isSchema1 = schema == 1;
    switch (kind) {
    case RecordKind::Service:
        return isSchema1 ? parseService1(fields) : parseService2(fields);
    case RecordKind::Batch:
        return isSchema1 ? parseBatch1(fields) : parseBatch2(fields);
    case RecordKind::Drain:
        return parseDrain(fields, isSchema1 ? "host" : "worker");
    case RecordKind::Configuration:
        return parseConfiguration(fields, isSchema1 ? "settings" : "values");
    }
    return {};
}

tl::unexpected<Error> bodyError(std::vector<std::string> errors)
{
    if (errors.size() > MaxErrors) {
        const auto more = errors.size() - MaxErrors;
        errors.resize(MaxErrors);
        errors.push_back(fmt::format("There are {} more errors.", more));
    }
    return fail(Failure::InvalidInput, Step::Receive, {},
                fmt::format("{}", fmt::join(errors, " ")));
}

Json parseUnique(std::string_view body, std::vector<std::string> &errors)
{
    if (const auto checked = checkJsonLimits(body, Limits); !checked) {
        errors.push_back(checked.error().detail);
        return {};
    }
    try {
        return Json::parse(body, StructureCheck(errors));
    } catch (const Json::exception &error) {
        errors.push_back(fmt::format("The body is not valid JSON: {}.", printable(error.what())));
        return {};
    }
}

Json schema1Resources(const Resources &declared)
{
    return {{"cores", declared.milliCores / MilliCoresPerCore},
            {"memory-gib", declared.memoryMiB / MiBPerGiB},
            {"accelerators", declared.accelerators}};
}

Json resourcesObject(const Resources &declared)
{
    return {{"milli-cores", declared.milliCores},
            {"memory-mib", declared.memoryMiB},
            {"accelerators", declared.accelerators}};
}

/** Writes the fields of one spec under one schema version. */
struct BodyWriter
{
    bool isSchema1;

    Json operator()(const ServiceSpec &spec) const
    {
        Json body = isSchema1 ? schema1Resources(spec.declared) : Json::object();
        body["team"] = spec.team;
        body["replicas"] = spec.replicas;
        body[isSchema1 ? "command" : "payload"] = spec.payload;
        if (isSchema1)
            return body;
        body["resources"] = resourcesObject(spec.declared);
        body["spread"] = nameIn(SpreadNames, spec.spread);
        const auto target =
            std::chrono::duration_cast<std::chrono::milliseconds>(spec.latencyTarget);
        if (target.count() > 0)
            body["latency-target-ms"] = target.count();
        return body;
    }

    Json operator()(const BatchSpec &spec) const
    {
        Json body = isSchema1 ? schema1Resources(spec.declared) : Json::object();
        body["team"] = spec.team;
        body[isSchema1 ? "command" : "payload"] = spec.payload;
        if (isSchema1) {
            body["urgent"] = spec.urgency == Urgency::Urgent;
            return body;
        }
        body["resources"] = resourcesObject(spec.declared);
        body["urgency"] = nameIn(UrgencyNames, spec.urgency);
        body["idempotent"] = spec.idempotent;
        body["max-attempts"] = spec.maxAttempts;
        const auto expected =
            std::chrono::duration_cast<std::chrono::seconds>(spec.expectedDuration);
        if (expected.count() > 0)
            body["expected-seconds"] = expected.count();
        return body;
    }

    Json operator()(const DrainSpec &spec) const
    {
        return {{isSchema1 ? "host" : "worker", spec.worker}, {"reason", spec.reason}};
    }

    Json operator()(const ConfigurationSpec &spec) const
    {
        return {{isSchema1 ? "settings" : "values", spec.values}};
    }
};

} // namespace

Result<ParsedBody> parseBody(RecordKind kind, std::string_view body)
{
    if (body.size() > MaxBodyBytes) {
        return fail(Failure::TooLarge, Step::Receive, {},
                    fmt::format("The body has {} bytes; allowed are at most {}.", body.size(),
                                MaxBodyBytes));
    }
    std::vector<std::string> errors;
    const Json json = parseUnique(body, errors);
    if (errors.empty() && !json.is_object()) {
        errors.push_back(
            fmt::format("The body is a JSON {}; allowed is an object.", json.type_name()));
    }
    if (!errors.empty())
        return bodyError(std::move(errors));

    FieldReader fields(json, {}, errors);
    const auto schema = fields.number("schema", MinSchema, MaxSchema);
    if (!errors.empty())
        return bodyError(std::move(errors));
    ParsedBody parsed{toUint32(schema), parseSpec(kind, schema, fields)};
    fields.finish();
    if (!errors.empty())
        return bodyError(std::move(errors));
    return parsed;
}

Result<RecordKey> parseKey(std::string_view kind, std::string_view name)
{
    const auto known = kindFromName(kind);
    if (!known) {
        return fail(Failure::InvalidInput, Step::Receive, {},
                    fmt::format("The kind of the record is '{}'; allowed is {}.", printable(kind),
                                allowedKinds()));
    }
    if (!isName(name)) {
        return fail(Failure::InvalidInput, Step::Receive, {},
                    fmt::format("The name of the record is '{}'; allowed is {}.", printable(name),
                                allowedName()));
    }
    return RecordKey{*known, std::string(name)};
}

Result<void> checkAuthor(std::string_view author)
{
    const auto isPrintable = [](char c) { return c >= ' ' && c <= '~'; };
    if (author.empty() || author.size() > MaxAuthorBytes
        || !std::all_of(author.begin(), author.end(), isPrintable)) {
        return fail(Failure::InvalidInput, Step::Receive, {},
                    fmt::format("The name of the operator has {} bytes; allowed are 1 to {} "
                                "printable ASCII characters.",
                                author.size(), MaxAuthorBytes));
    }
    return {};
}

std::string serializeBody(std::uint32_t schema, const Spec &spec)
{
    Json body = std::visit(BodyWriter{schema == 1}, spec);
    body["schema"] = schema;
    return jsonText(body);
}

} // namespace Oleander::Records
