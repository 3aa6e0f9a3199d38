#include "Settings/commonsettings.h"

#include "Settings/settingsvalue.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MiB = 1024 * KiB;

} // namespace

void bindLocation(SettingsBinder &binder, const char *section, Location &location)
{
    binder.name(section, "region", location.region, Presence::Required);
    binder.name(section, "failure-domain", location.failureDomain, Presence::Required);
    binder.name(section, "rack", location.rack, Presence::Required);
}

void bindLimits(SettingsBinder &binder, const char *section, HttpLimits &limits)
{
    std::uint64_t header = limits.maxHeaderBytes;
    std::uint64_t body = limits.maxBodyBytes;
    std::uint64_t connections = limits.maxConnections;
    std::uint64_t fields = limits.maxHeaderFields;
    binder.bytes(section, "max-header", header, KiB, MiB);
    binder.bytes(section, "max-body", body, KiB, 64 * MiB);
    binder.number(section, "max-connections", connections, 1, 65'536);
    binder.duration(section, "idle-timeout", limits.idleTimeout, std::chrono::milliseconds(100),
                    std::chrono::minutes(10));
    binder.duration(section, "request-timeout", limits.requestTimeout,
                    std::chrono::milliseconds(100), std::chrono::minutes(60));
    binder.number(section, "max-header-fields", fields, 8, 65'536);
    limits.maxHeaderFields = fields;
    limits.maxHeaderBytes = header;
    limits.maxBodyBytes = body;
    limits.maxConnections = connections;
}

void bindHttp(SettingsBinder &binder, HttpSettings &http, const std::vector<SectionLimits> &servers)
{
    constexpr const char *Section = "http";
    constexpr const char *Key = "request-budget";
    const std::uint64_t standard = http.requestBudget;
    binder.bytes(Section, Key, http.requestBudget, KiB, 64 * KiB * MiB);
    binder.number(Section, "reserved-descriptors", http.reservedDescriptors, 64, 65'536);
    for (const auto &[section, limits] : servers) {
        const std::uint64_t request = limits.maxHeaderBytes + limits.maxBodyBytes;
        // One server may use three quarters of the budget.
        const std::uint64_t needed = (request + 3 * KiB - 1) / (3 * KiB) * 4 * KiB;
        if (RequestBudget::doorShare(http.requestBudget) >= request)
            continue;
        if (http.requestBudget == standard) {
            http.requestBudget = std::max(standard, needed);
            continue;
        }
        binder.addError(Section, Key,
                        fmt::format("One request of max-header and max-body of [{}] does not fit "
                                    "in three quarters of the budget.",
                                    section),
                        fmt::format("at least {}", bytesText(needed)));
    }
}

void bindLink(SettingsBinder &binder, const char *section, std::string &link,
              std::string &advertised)
{
    binder.address(section, "link", link, Presence::Required, PortRule::NonZero);
    binder.address(section, "link-advertised", advertised, Presence::Optional, PortRule::NonZero);
    if (advertised.empty())
        advertised = link;
}

void checkAddressesDiffer(SettingsBinder &binder, const char *section, const char *key,
                          const std::string &value, const char *otherKey, const std::string &other)
{
    if (value.empty() || value != other || portOf(value) == 0)
        return;
    binder.addError(section, key, fmt::format("The address is the same as that of {}.", otherKey),
                    "an address of its own");
}

} // namespace Oleander
