#include "Agent/announcementparse.h"

#include "Protocol/jsonreader.h"
#include "Runtime/address.h"

#include <fmt/format.h>

#include <array>

namespace Oleander {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MaxSlots = 1024;
constexpr std::uint64_t MaxConnections = 16U << 10U;
constexpr std::uint64_t MinTimeToLiveMs = 100;
constexpr std::array<std::string_view, 6> Fields = {"service",     "address", "slots",
                                                    "connections", "ttl_ms",  "busy"};

tl::unexpected<Error> refuse(const std::string &minion, std::string detail)
{
    return fail(Failure::InvalidInput, Step::Join, minion, std::move(detail));
}

Result<std::string> readText(const std::string &minion, const Json &body, const char *field)
{
    const auto found = body.find(field);
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string &>().empty())
        return refuse(minion,
                      fmt::format("The field {} is missing, empty or not a string.", field));
    return found->get<std::string>();
}

Result<std::uint64_t> readNumber(const std::string &minion, const Json &body, const char *field,
                                 std::uint64_t minimum, std::uint64_t maximum)
{
    const auto found = body.find(field);
    if (found != body.end()) {
        if (const auto value = integerIn(*found, minimum, maximum))
            return *value;
    }
    const std::string given = found == body.end() ? "missing" : displayText(*found);
    return refuse(minion, fmt::format("The field {} is {}; allowed is a whole number from {} to "
                                      "{}.",
                                      field, given, minimum, maximum));
}

bool isKnownField(const std::string &key)
{
    return std::find(Fields.begin(), Fields.end(), key) != Fields.end();
}

} // namespace

Result<MinionAnnouncement> parseAnnouncement(const std::string &name, const std::string &body,
                                             Duration maxTimeToLive)
{
    const auto parsed = parseJson(body);
    if (!parsed)
        return refuse(name, parsed.error().detail);
    const Json &json = *parsed;
    if (!json.is_object())
        return refuse(name, "The body is not a JSON object.");
    for (const auto &[key, value] : json.items()) {
        if (!isKnownField(key))
            return refuse(name, fmt::format("The field {} is unknown.", displayText(key)));
    }
    const auto maxMilliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(maxTimeToLive);
    const auto service = readText(name, json, "service");
    const auto address = readText(name, json, "address");
    const auto slots = readNumber(name, json, "slots", 1, MaxSlots);
    const auto connections = readNumber(name, json, "connections", 1, MaxConnections);
    const auto timeToLive = readNumber(name, json, "ttl_ms", MinTimeToLiveMs,
                                       static_cast<std::uint64_t>(maxMilliseconds.count()));
    for (const auto *field : {&service, &address}) {
        if (!*field)
            return tl::make_unexpected(field->error());
    }
    for (const auto *field : {&slots, &connections, &timeToLive}) {
        if (!*field)
            return tl::make_unexpected(field->error());
    }
    if (const auto peer = parsePeerAddress(*address); !peer)
        return refuse(name, peer.error().detail);
    MinionAnnouncement result;
    result.name = name;
    result.service = *service;
    result.address = *address;
    result.capacity = {static_cast<std::uint32_t>(*slots),
                       static_cast<std::uint32_t>(*connections)};
    result.timeToLive = std::chrono::milliseconds(*timeToLive);
    if (json.contains("busy")) {
        const auto busy = readNumber(name, json, "busy", 0, MaxConnections);
        if (!busy)
            return tl::make_unexpected(busy.error());
        result.busySlots = static_cast<std::uint32_t>(*busy);
    }
    return result;
}

} // namespace Oleander
