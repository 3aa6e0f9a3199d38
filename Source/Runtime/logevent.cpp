#include "Runtime/logevent.h"

#include "Base/nametable.h"

#include <algorithm>
#include <array>

namespace Oleander {

namespace {

constexpr NameTable<LogLevel, 4> LevelNames = {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

constexpr auto EventRows = std::to_array<LogEventRow>({
    {LogEvent::ProcessStarted, LogLevel::Info, "process.started"},
    {LogEvent::ProcessStopping, LogLevel::Info, "process.stopping"},
    {LogEvent::ProcessStopped, LogLevel::Info, "process.stopped"},
    {LogEvent::SettingsRefused, LogLevel::Error, "settings.refused"},
    {LogEvent::StartFailed, LogLevel::Error, "process.start-failed"},
    {LogEvent::LinesSuppressed, LogLevel::Warning, "log.lines-left-out"},
    {LogEvent::StateDump, LogLevel::Info, "process.state"},
    {LogEvent::SettingsReloaded, LogLevel::Info, "settings.reloaded"},

    {LogEvent::RequestFailed, LogLevel::Warning, "request.failed"},
    {LogEvent::RequestRetried, LogLevel::Info, "request.retried"},
    {LogEvent::RequestShed, LogLevel::Warning, "request.shed"},
    {LogEvent::MinionAnnounced, LogLevel::Info, "minion.announced"},
    {LogEvent::MinionDraining, LogLevel::Info, "minion.draining"},
    {LogEvent::MinionLapsed, LogLevel::Warning, "minion.lapsed"},
    {LogEvent::MinionEjected, LogLevel::Warning, "minion.ejected"},
    {LogEvent::MinionRestored, LogLevel::Info, "minion.restored"},
    {LogEvent::MinionUnconfirmed, LogLevel::Warning, "minion.unconfirmed"},
    {LogEvent::MinionFenceRaised, LogLevel::Info, "minion.fence-raised"},
    {LogEvent::MinionPresumedAlive, LogLevel::Warning, "minion.presumed-alive"},

    {LogEvent::TaskPlaced, LogLevel::Info, "task.placed"},
    {LogEvent::TaskOrderRefused, LogLevel::Warning, "task.order-refused"},
    {LogEvent::TaskStateChanged, LogLevel::Info, "task.state-changed"},
    {LogEvent::TaskUnschedulable, LogLevel::Warning, "task.impossible"},
    {LogEvent::WorkerLeaseGranted, LogLevel::Info, "worker.lease-granted"},
    {LogEvent::WorkerLeaseLost, LogLevel::Error, "worker.lease-lost"},
    {LogEvent::WorkerSuspect, LogLevel::Warning, "worker.suspect"},
    {LogEvent::WorkerUnreachable, LogLevel::Warning, "worker.unreachable"},
    {LogEvent::JobReceived, LogLevel::Info, "job.received"},
    {LogEvent::JobCancelled, LogLevel::Info, "job.cancelled"},
    {LogEvent::RunDecided, LogLevel::Info, "run.decided"},
    {LogEvent::RunEnded, LogLevel::Info, "run.ended"},
    {LogEvent::JobServiceLevel, LogLevel::Info, "job.service-level"},
    {LogEvent::CapacityReserved, LogLevel::Info, "room.kept"},
    {LogEvent::RunMoved, LogLevel::Info, "run.moved"},
    {LogEvent::RunOrdered, LogLevel::Info, "run.ordered"},
    {LogEvent::RunStartConfirmed, LogLevel::Info, "run.start-confirmed"},
    {LogEvent::RunStartWithdrawn, LogLevel::Info, "run.start-withdrawn"},
    {LogEvent::RunStopCalled, LogLevel::Info, "run.stop-called"},
    {LogEvent::RunStartHeld, LogLevel::Warning, "run.start-held"},
    {LogEvent::JobRerouted, LogLevel::Info, "job.rerouted"},
    {LogEvent::RunEndIgnored, LogLevel::Warning, "run.end-ignored"},
    {LogEvent::RunOutlivedLease, LogLevel::Warning, "run.outlived-lease"},
    {LogEvent::BackfillReserved, LogLevel::Info, "backfill.reserved"},
    {LogEvent::BackfillEnded, LogLevel::Info, "backfill.ended"},
    {LogEvent::RunPaced, LogLevel::Info, "run.paced"},
    {LogEvent::RunEvacuated, LogLevel::Info, "run.evacuated"},

    {LogEvent::LeaderElected, LogLevel::Info, "control.leader-elected"},
    {LogEvent::LeaderSteppedDown, LogLevel::Warning, "control.leader-stood-down"},
    {LogEvent::TermChanged, LogLevel::Info, "control.term-changed"},
    {LogEvent::SnapshotTaken, LogLevel::Info, "control.snapshot-taken"},
    {LogEvent::SnapshotInstalled, LogLevel::Info, "control.snapshot-installed"},
    {LogEvent::LogTailTruncated, LogLevel::Warning, "control.log-tail-cut"},
    {LogEvent::StorageFailed, LogLevel::Error, "control.storage-failed"},
    {LogEvent::ReplicaJoined, LogLevel::Info, "control.replica-joined"},
    {LogEvent::ReplicaLeft, LogLevel::Warning, "control.replica-left"},
    {LogEvent::StorageDamaged, LogLevel::Error, "control.storage-damaged"},
    {LogEvent::StorageStalled, LogLevel::Error, "control.storage-stalled"},
    {LogEvent::StorageResumed, LogLevel::Info, "control.storage-resumed"},
    {LogEvent::LeaderFollowed, LogLevel::Info, "control.leader-followed"},
    {LogEvent::StorageOpened, LogLevel::Info, "control.storage-opened"},
    {LogEvent::SnapshotFailed, LogLevel::Warning, "control.snapshot-failed"},
    {LogEvent::StorageRemovalFailed, LogLevel::Warning, "control.storage-removal-failed"},
    {LogEvent::LeaderUnreachable, LogLevel::Warning, "control.leader-unreachable"},

    {LogEvent::RecordAccepted, LogLevel::Info, "record.accepted"},
    {LogEvent::RecordRefused, LogLevel::Info, "record.refused"},
    {LogEvent::ConfigurationApplied, LogLevel::Info, "configuration.applied"},
    {LogEvent::ConfigurationStale, LogLevel::Warning, "configuration.stale"},
    {LogEvent::ConfigurationRefused, LogLevel::Warning, "configuration.refused"},
    {LogEvent::EvacuationChanged, LogLevel::Info, "evacuation.changed"},
    {LogEvent::EvacuationRefused, LogLevel::Info, "evacuation.refused"},
    {LogEvent::EvacuationAbandoned, LogLevel::Info, "evacuation.abandoned"},

    {LogEvent::PeerConnected, LogLevel::Info, "peer.connected"},
    {LogEvent::PeerLost, LogLevel::Warning, "peer.lost"},
    {LogEvent::FrameMalformed, LogLevel::Warning, "peer.frame-malformed"},
    {LogEvent::ListenerOpened, LogLevel::Info, "door.opened"},
    {LogEvent::ListenerClosed, LogLevel::Info, "door.closed"},
    {LogEvent::RequestsRefused, LogLevel::Warning, "door.requests-refused"},
});

} // namespace

std::string_view logLevelName(LogLevel level)
{
    return nameIn(LevelNames, level);
}

std::span<const LogEventRow> logEventTable()
{
    return EventRows;
}

const LogEventRow &logEventRow(LogEvent event)
{
    static constexpr LogEventRow Missing{LogEvent::LinesSuppressed, LogLevel::Error,
                                         "event.unlisted"};
    const auto row =
        std::ranges::find(EventRows, event, [](const LogEventRow &r) { return r.event; });
    return row == EventRows.end() ? Missing : *row;
}

} // namespace Oleander
