#include "Settings/agentsettings.h"

#include "Protocol/resourcelimits.h"
#include "Settings/commonsettings.h"
#include "Settings/settingsvalue.h"

#include <fmt/format.h>

namespace Oleander {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char *AgentSection = "agent";
constexpr const char *EntriesSection = "entries";
constexpr const char *WorkerSection = "worker";
constexpr const char *AdmissionSection = "admission";

constexpr std::uint64_t MiB = 1ULL << 20;

/** Upper bound of the time until an accepted configuration is in force in every process. */
constexpr Duration MaxConfigurationLease = seconds(4);

void bindAgent(SettingsBinder &binder, AgentSettings &settings)
{
    binder.name(AgentSection, "name", settings.name, Presence::Required);
    bindLocation(binder, AgentSection, settings.location);
    bindLink(binder, AgentSection, settings.link, settings.linkAdvertised);
    binder.address(AgentSection, "minion-door", settings.minionDoor, Presence::Required,
                   PortRule::AllowZero);
    binder.address(AgentSection, "operator-door", settings.operatorDoor, Presence::Optional,
                   PortRule::AllowZero);
    binder.duration(AgentSection, "heartbeat-interval", settings.heartbeatInterval,
                    milliseconds(20), seconds(30));
    binder.duration(AgentSection, "configuration-lease", settings.configurationLease,
                    milliseconds(200), MaxConfigurationLease);
    binder.peers(EntriesSection, settings.entries);
}

void bindWorker(SettingsBinder &binder, WorkerSettings &worker)
{
    std::uint64_t milliCores = worker.capacity.milliCores;
    std::uint64_t memory = worker.capacity.memoryMiB * MiB;
    std::uint64_t accelerators = worker.capacity.accelerators;
    binder.address(WorkerSection, "address", worker.address, Presence::Optional, PortRule::NonZero);
    const auto needed = worker.address.empty() ? Presence::Optional : Presence::Required;
    binder.number(WorkerSection, "milli-cores", milliCores, 1, MaxMilliCores, needed);
    binder.bytes(WorkerSection, "memory", memory, MiB, MaxMemoryMiB * MiB, needed);
    binder.number(WorkerSection, "accelerators", accelerators, 0, MaxAccelerators);
    binder.duration(WorkerSection, "usage-interval", worker.usageInterval, milliseconds(50),
                    minutes(5));
    binder.duration(WorkerSection, "call-timeout", worker.callTimeout, milliseconds(10),
                    minutes(5));
    worker.capacity.milliCores = static_cast<std::uint32_t>(milliCores);
    worker.capacity.memoryMiB = memory / MiB;
    worker.capacity.accelerators = static_cast<std::uint32_t>(accelerators);
}

void bindAdmission(SettingsBinder &binder, AdmissionSettings &admission)
{
    binder.number(AdmissionSection, "max-queued", admission.maxQueued, 0, 1'000'000);
    binder.number(AdmissionSection, "remembered-requests", admission.rememberedRequests, 16,
                  10'000'000);
    binder.duration(AdmissionSection, "max-minion-lifetime", admission.maxMinionLifetime,
                    milliseconds(100), minutes(60));
}

void checkEntries(SettingsBinder &binder, const AgentSettings &settings)
{
    if (settings.entries.empty()) {
        binder.addError(EntriesSection, "", "The agent knows no entry.",
                        "at least one line: NAME = ADDRESS:PORT");
    }
    for (const auto &entry : settings.entries) {
        if (entry.address == settings.linkAdvertised) {
            binder.addError(EntriesSection, entry.name.c_str(),
                            "The address is that of the agent's own link.",
                            "the address of the entry's link");
        }
    }
}

} // namespace

CheckedSettings<AgentSettings> parseAgentSettings(IniFile file)
{
    SettingsBinder binder(std::move(file));
    CheckedSettings<AgentSettings> checked;
    auto &settings = checked.settings;
    bindAgent(binder, settings);
    bindLimits(binder, "minion-limits", settings.minionLimits);
    bindLimits(binder, "operator-limits", settings.operatorLimits);
    bindHttp(
        binder, settings.http,
        {{"minion-limits", settings.minionLimits}, {"operator-limits", settings.operatorLimits}});
    bindWorker(binder, settings.worker);
    bindAdmission(binder, settings.admission);
    checkAddressesDiffer(binder, AgentSection, "minion-door", settings.minionDoor, "link",
                         settings.link);
    checkAddressesDiffer(binder, AgentSection, "operator-door", settings.operatorDoor,
                         "minion-door", settings.minionDoor);
    checkAddressesDiffer(binder, AgentSection, "operator-door", settings.operatorDoor, "link",
                         settings.link);
    checkEntries(binder, settings);
    binder.finish();
    checked.errors = binder.errors();
    checked.keys = binder.keys();
    return checked;
}

} // namespace Oleander
