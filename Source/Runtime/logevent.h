#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Oleander {

/** Severity of a log line. Warnings and errors are alarms, and the runbook covers each of them. */
enum class LogLevel { Debug, Info, Warning, Error };

/** Returns the name of \a level as used in log lines. */
std::string_view logLevelName(LogLevel level);

/**
 * Every event that a process logs, with its number. Numbers are never reused for another event.
 * Blocks: 1000 process, 2000 request, 3000 task, 4000 control log, 5000 record and configuration,
 * 6000 links and listeners.
 */
enum class LogEvent : std::uint32_t {
    ProcessStarted = 1000,
    ProcessStopping = 1001,
    ProcessStopped = 1002,
    SettingsRefused = 1003,
    StartFailed = 1004,
    LinesSuppressed = 1005,
    StateDump = 1006,
    SettingsReloaded = 1007,

    RequestFailed = 2000,
    RequestRetried = 2001,
    RequestShed = 2002,
    MinionAnnounced = 2010,
    MinionDraining = 2011,
    MinionLapsed = 2012,
    MinionEjected = 2013,
    MinionRestored = 2014,
    MinionUnconfirmed = 2015,
    MinionFenceRaised = 2016,
    MinionPresumedAlive = 2017,

    TaskPlaced = 3000,
    TaskOrderRefused = 3001,
    TaskStateChanged = 3002,
    TaskUnschedulable = 3003,
    WorkerLeaseGranted = 3010,
    WorkerLeaseLost = 3011,
    WorkerSuspect = 3012,
    WorkerUnreachable = 3013,
    JobReceived = 3020,
    JobCancelled = 3021,
    RunDecided = 3022,
    RunEnded = 3023,
    JobServiceLevel = 3024,
    CapacityReserved = 3025,
    RunMoved = 3026,
    RunOrdered = 3027,
    RunStartConfirmed = 3028,
    RunStartWithdrawn = 3029,
    RunStopCalled = 3030,
    RunStartHeld = 3031,
    JobRerouted = 3032,
    RunEndIgnored = 3033,
    RunOutlivedLease = 3034,
    BackfillReserved = 3035,
    BackfillEnded = 3036,
    RunPaced = 3040,
    RunEvacuated = 3041,

    LeaderElected = 4000,
    LeaderSteppedDown = 4001,
    TermChanged = 4002,
    SnapshotTaken = 4003,
    SnapshotInstalled = 4004,
    LogTailTruncated = 4005,
    StorageFailed = 4006,
    ReplicaJoined = 4007,
    ReplicaLeft = 4008,
    StorageDamaged = 4009,
    StorageStalled = 4010,
    StorageResumed = 4011,
    LeaderFollowed = 4012,
    StorageOpened = 4013,
    SnapshotFailed = 4014,
    StorageRemovalFailed = 4015,
    LeaderUnreachable = 4016,

    RecordAccepted = 5000,
    RecordRefused = 5001,
    ConfigurationApplied = 5010,
    ConfigurationStale = 5011,
    ConfigurationRefused = 5012,
    EvacuationChanged = 5020,
    EvacuationRefused = 5021,
    EvacuationAbandoned = 5022,

    PeerConnected = 6000,
    PeerLost = 6001,
    FrameMalformed = 6002,
    ListenerOpened = 6010,
    ListenerClosed = 6011,
    RequestsRefused = 6012,
};

/** One row of the table of events. */
struct LogEventRow
{
    LogEvent event;
    LogLevel level;
    std::string_view name;
};

/** All events in ascending order of their numbers; docs/reference/events.md describes each. */
std::span<const LogEventRow> logEventTable();

/** Returns the row of \a event. */
const LogEventRow &logEventRow(LogEvent event);

} // namespace Oleander
