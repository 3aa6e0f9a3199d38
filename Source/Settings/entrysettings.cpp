#include "Settings/entrysettings.h"

#include "Settings/commonsettings.h"
#include "Settings/settingsvalue.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char *EntrySection = "entry";
constexpr const char *GroupSection = "control-group";
constexpr const char *RequestSection = "request";
constexpr const char *LeaseSection = "lease";
constexpr const char *ControlSection = "control";

/** Upper bound of the time until an accepted configuration is in force in every process. */
constexpr Duration MaxConfigurationLease = seconds(4);

constexpr std::uint64_t MaxGroupSize = 7;

void bindEntry(SettingsBinder &binder, EntrySettings &settings)
{
    binder.name(EntrySection, "name", settings.name, Presence::Required);
    bindLocation(binder, EntrySection, settings.location);
    binder.address(EntrySection, "caller-door", settings.callerDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.address(EntrySection, "operator-door", settings.operatorDoor, Presence::Required,
                   PortRule::AllowZero);
    bindLink(binder, EntrySection, settings.link, settings.linkAdvertised);
    binder.folder(EntrySection, "data-folder", settings.dataFolder, Presence::Optional);
    binder.peers(GroupSection, settings.controlGroup);
}

void bindRequest(SettingsBinder &binder, RequestSettings &request)
{
    binder.duration(RequestSection, "default-timeout", request.defaultTimeout, milliseconds(1),
                    minutes(10));
    binder.duration(RequestSection, "max-timeout", request.maxTimeout, milliseconds(1),
                    minutes(10));
    binder.number(RequestSection, "max-in-flight", request.maxInFlight, 1, 1'000'000);
    binder.number(RequestSection, "retry-budget-percent", request.retryBudgetPercent, 0, 100);
    binder.number(RequestSection, "hedge-budget-percent", request.hedgeBudgetPercent, 0, 100);
    binder.duration(RequestSection, "key-lifetime", request.keyLifetime, seconds(1),
                    minutes(24 * 60));
    binder.duration(RequestSection, "drain-delay", request.drainDelay, milliseconds(0), minutes(5));
    binder.duration(RequestSection, "drain-timeout", request.drainTimeout, milliseconds(100),
                    minutes(30));
}

void bindLease(SettingsBinder &binder, LeaseSettings &lease)
{
    binder.duration(LeaseSection, "worker", lease.worker, milliseconds(200), minutes(5));
    binder.duration(LeaseSection, "margin", lease.margin, milliseconds(10), minutes(1));
    binder.duration(LeaseSection, "configuration", lease.configuration, milliseconds(200),
                    MaxConfigurationLease);
}

void bindControl(SettingsBinder &binder, ControlSettings &control)
{
    binder.duration(ControlSection, "election-timeout", control.electionTimeout, milliseconds(50),
                    seconds(30));
    binder.duration(ControlSection, "heartbeat-interval", control.heartbeatInterval,
                    milliseconds(5), seconds(10));
    binder.number(ControlSection, "snapshot-entries", control.snapshotEntries, 10, 10'000'000);
    binder.duration(ControlSection, "proposal-timeout", control.proposalTimeout, milliseconds(50),
                    minutes(1));
}

void checkGroup(SettingsBinder &binder, const EntrySettings &settings)
{
    const auto &group = settings.controlGroup;
    if (group.empty() || group.size() > MaxGroupSize || group.size() % 2 == 0) {
        binder.addError(GroupSection, "",
                        fmt::format("The control group has {} members.", group.size()),
                        "1, 3, 5 or 7 members, one line each: NAME = ADDRESS:PORT");
    }
    const auto self = std::ranges::find(group, settings.name, &PeerAddress::name);
    if (!settings.dataFolder.empty() && self == group.end()) {
        binder.addError(
            EntrySection, "data-folder",
            fmt::format("This entry has a data folder but \"{}\" is not a member of the "
                        "control group.",
                        settings.name),
            "a data folder on members of [control-group] only");
    }
    if (settings.dataFolder.empty() && self != group.end()) {
        binder.addError(EntrySection, "data-folder",
                        "This entry is a member of the control group but has no data folder.",
                        "the absolute path of a folder");
    }
    if (self != group.end() && self->address != settings.linkAdvertised) {
        binder.addError(GroupSection, settings.name.c_str(),
                        fmt::format("The address is not the one that this entry advertises, {}.",
                                    settings.linkAdvertised),
                        settings.linkAdvertised);
    }
}

void checkTimes(SettingsBinder &binder, const EntrySettings &settings)
{
    if (settings.request.defaultTimeout > settings.request.maxTimeout) {
        binder.addError(RequestSection, "default-timeout",
                        "The default timeout is longer than max-timeout.",
                        fmt::format("at most {}", durationText(settings.request.maxTimeout)));
    }
    if (settings.lease.margin >= settings.lease.worker) {
        binder.addError(LeaseSection, "margin", "The margin is not shorter than the lease.",
                        fmt::format("less than {}", durationText(settings.lease.worker)));
    }
    if (settings.control.heartbeatInterval * 2 > settings.control.electionTimeout) {
        binder.addError(ControlSection, "heartbeat-interval",
                        "A follower would start elections under a live leader.",
                        fmt::format("at most half of election-timeout, {}",
                                    durationText(settings.control.electionTimeout / 2)));
    }
}

} // namespace

CheckedSettings<EntrySettings> parseEntrySettings(IniFile file)
{
    SettingsBinder binder(std::move(file));
    CheckedSettings<EntrySettings> checked;
    auto &settings = checked.settings;
    bindEntry(binder, settings);
    bindLimits(binder, "caller-limits", settings.callerLimits);
    bindLimits(binder, "operator-limits", settings.operatorLimits);
    bindHttp(
        binder, settings.http,
        {{"caller-limits", settings.callerLimits}, {"operator-limits", settings.operatorLimits}});
    bindRequest(binder, settings.request);
    bindLease(binder, settings.lease);
    bindControl(binder, settings.control);
    checkAddressesDiffer(binder, EntrySection, "operator-door", settings.operatorDoor,
                         "caller-door", settings.callerDoor);
    checkAddressesDiffer(binder, EntrySection, "link", settings.link, "caller-door",
                         settings.callerDoor);
    checkAddressesDiffer(binder, EntrySection, "link", settings.link, "operator-door",
                         settings.operatorDoor);
    checkGroup(binder, settings);
    checkTimes(binder, settings);
    binder.finish();
    checked.errors = binder.errors();
    checked.keys = binder.keys();
    return checked;
}

} // namespace Oleander
