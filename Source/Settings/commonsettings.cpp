#include "Settings/commonsettings.h"

#include "Settings/settingsvalue.h"

#include <fmt/format.h>

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
    binder.bytes(section, "max-header", header, KiB, MiB);
    binder.bytes(section, "max-body", body, KiB, 64 * MiB);
    binder.number(section, "max-connections", connections, 1, 65'536);
    binder.duration(section, "idle-timeout", limits.idleTimeout, std::chrono::milliseconds(100),
                    std::chrono::minutes(10));
    limits.maxHeaderBytes = header;
    limits.maxBodyBytes = body;
    limits.maxConnections = connections;
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
