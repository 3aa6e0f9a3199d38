#include "Settings/fleetsettings.h"

#include "Settings/commonsettings.h"

namespace Oleander {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ControlSection = "control-host";
constexpr const char *EntrySection = "job-entry";
constexpr const char *AgentSection = "machine-agent";
constexpr const char *GroupSection = "group";
constexpr std::uint64_t MinJobMemory = std::uint64_t{1} << 20U;
constexpr std::uint64_t MaxJobMemory = std::uint64_t{1} << 40U;
constexpr double MinColdOverage = 0.1;
constexpr double MaxColdOverage = 1000;
constexpr std::uint64_t MaxColdSlack = 1'000'000;

void bindGroup(SettingsBinder &binder, GroupSettings &group)
{
    std::uint64_t linkPort = 0;
    binder.addresses(GroupSection, "seeds", group.seeds, Presence::Required);
    binder.number(GroupSection, "link-port", linkPort, 1, 65'535, Presence::Required);
    for (std::string &seed : group.seeds)
        seed = seed.substr(0, seed.find(':') + 1) + std::to_string(linkPort);
}

void bindMetricsDoor(SettingsBinder &binder, const char *section, std::string &door)
{
    binder.address(section, "metrics-door", door, Presence::Optional, PortRule::AllowZero);
}

template<typename Settings>
CheckedSettings<Settings> finish(SettingsBinder &binder, Settings settings)
{
    binder.finish();
    CheckedSettings<Settings> checked;
    checked.settings = std::move(settings);
    checked.errors = binder.errors();
    checked.keys = binder.keys();
    return checked;
}

} // namespace

CheckedSettings<ControlHostSettings> parseControlHostSettings(IniFile file)
{
    SettingsBinder binder(std::move(file));
    ControlHostSettings settings;
    binder.address(ControlSection, "link", settings.link, Presence::Required, PortRule::NonZero);
    binder.address(ControlSection, "operator-door", settings.operatorDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.folder(ControlSection, "data-folder", settings.dataFolder, Presence::Optional);
    binder.boolean(ControlSection, "may-form", settings.mayForm);
    binder.number(ControlSection, "tolerated-losses", settings.toleratedLosses, 0, 16);
    binder.duration(ControlSection, "longest-lease", settings.longestLease, seconds(1),
                    seconds(60));
    binder.bytes(ControlSection, "job-memory", settings.jobMemory, MinJobMemory, MaxJobMemory);
    binder.decimal(ControlSection, "cold-overage", settings.coldOverage, MinColdOverage,
                   MaxColdOverage);
    binder.number(ControlSection, "cold-slack", settings.coldSlack, 1, MaxColdSlack);
    binder.boolean(ControlSection, "backfill", settings.backfill);
    bindMetricsDoor(binder, ControlSection, settings.metricsDoor);
    binder.failureDomains(ControlSection, "failure-domains", settings.failureDomains);
    bindGroup(binder, settings.group);
    bindLimits(binder, "operator-limits", settings.limits);
    bindHttp(binder, settings.http, {{"operator-limits", settings.limits}});
    return finish(binder, std::move(settings));
}

CheckedSettings<JobEntrySettings> parseJobEntrySettings(IniFile file)
{
    SettingsBinder binder(std::move(file));
    JobEntrySettings settings;
    binder.name(EntrySection, "name", settings.name, Presence::Required);
    binder.address(EntrySection, "caller-door", settings.callerDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.address(EntrySection, "health-door", settings.healthDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.duration(EntrySection, "drain-delay", settings.drainDelay, milliseconds(0), seconds(60));
    bindMetricsDoor(binder, EntrySection, settings.metricsDoor);
    bindGroup(binder, settings.group);
    bindLimits(binder, "caller-limits", settings.limits);
    bindHttp(binder, settings.http, {{"caller-limits", settings.limits}});
    return finish(binder, std::move(settings));
}

CheckedSettings<MachineAgentSettings> parseMachineAgentSettings(IniFile file)
{
    SettingsBinder binder(std::move(file));
    MachineAgentSettings settings;
    binder.name(AgentSection, "name", settings.name, Presence::Required);
    binder.address(AgentSection, "minion-door", settings.minionDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.address(AgentSection, "minion", settings.minion, Presence::Required, PortRule::NonZero);
    binder.duration(AgentSection, "cancel-time", settings.cancelTime, milliseconds(100),
                    seconds(60));
    Duration evacuationTime{};
    binder.duration(AgentSection, "evacuation-time", evacuationTime, milliseconds(100),
                    seconds(60));
    if (evacuationTime > Duration{})
        settings.evacuationTime = evacuationTime;
    bindMetricsDoor(binder, AgentSection, settings.metricsDoor);
    bindGroup(binder, settings.group);
    bindLimits(binder, "minion-limits", settings.limits);
    bindHttp(binder, settings.http, {{"minion-limits", settings.limits}});
    return finish(binder, std::move(settings));
}

} // namespace Oleander
