#include "Entry/replicatask.h"

#include "Entry/replicataskprivate.h"
#include "Protocol/codec.h"
#include "Runtime/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Oleander {

namespace {

/** Ticks per heartbeat interval. */
constexpr int TicksPerHeartbeat = 4;
constexpr std::uint64_t MicrosecondsPerMillisecond = 1000;
/** Interval between attempts to open the folder at a start while the disk is full. */
constexpr auto ReopenInterval = std::chrono::milliseconds(200);

} // namespace

Result<DataFolder> ReplicaTask::Private::openFolder()
{
    auto folder = DataFolder::open(options.folder);
    if (folder || folder.error().code != Failure::Corrupt)
        return folder;
    logEvent(LogEvent::StorageDamaged, folder.error());
    return DataFolder::openAfterDamage(options.folder);
}

Result<void> ReplicaTask::Private::openReplica()
{
    auto folder = openFolder();
    if (!folder)
        return tl::make_unexpected(folder.error());
    if (folder->tornBytes() > 0) {
        logEvent(LogEvent::LogTailTruncated, Step::Restart, options.name,
                 {{"bytes", std::to_string(folder->tornBytes())}});
    }
    StoredReplica stored = folder->takeStored();
    logEvent(LogEvent::StorageOpened, Step::Restart, options.name,
             {{"segments", std::to_string(folder->segmentCount())},
              {"bytes", std::to_string(folder->logBytes())},
              {"last_record", std::to_string(folder->lastSequence())},
              {"last_index", std::to_string(stored.snapshot.index + stored.entries.size())},
              {"snapshot", std::to_string(stored.snapshot.index)},
              {"term", std::to_string(stored.hardState.term)}});
    if (stored.snapshot.index > 0) {
        if (auto restored = machine.restore(*stored.snapshot.data); !restored)
            return restored;
        appliedIndex = stored.snapshot.index;
    }
    const auto wall = static_cast<std::uint64_t>(loop.clock().wallNow().time_since_epoch().count());
    ReplicaOptions replicaOptions;
    replicaOptions.name = options.name;
    replicaOptions.initialIncarnation = wall * MicrosecondsPerMillisecond;
    replicaOptions.mayForm = folder->mayForm() && options.mayForm;
    replicaOptions.acceptsUnknownReplicas = options.acceptsUnknownReplicas;
    replicaOptions.initialReplicas = options.replicas;
    replicaOptions.heartbeatInterval = options.heartbeatInterval;
    replicaOptions.electionTimeout = options.electionTimeout;
    replicaOptions.seed = wall ^ std::hash<std::string>()(options.name);
    replica.emplace(std::move(replicaOptions), std::move(stored), now());
    writer = std::make_unique<StorageWriter>(loop, std::move(*folder), storageEvents());
    return {};
}

Result<void> ReplicaTask::Private::openReplicaUnlessFull()
{
    auto opened = openReplica();
    if (!opened && opened.error().code == Failure::StorageFull) {
        if (!reopenAt)
            logEvent(LogEvent::StorageStalled, opened.error());
        storageError = opened.error().detail;
        reopenAt = now() + ReopenInterval;
        return {};
    }
    if (opened && reopenAt) {
        storageError.clear();
        logEvent(LogEvent::StorageResumed, Step::Sync, options.name, {});
    }
    reopenAt.reset();
    return opened;
}

void ReplicaTask::Private::reopenReplica()
{
    if (const auto opened = openReplicaUnlessFull(); !opened) {
        logEvent(LogEvent::StorageFailed, opened.error());
        storageError = opened.error().detail;
        hasPermanentlyFailed = true;
    }
}

StorageEvents ReplicaTask::Private::storageEvents()
{
    StorageEvents events;
    events.synced = [this](std::uint64_t sequence) {
        replica->writesSynced(now(), sequence);
        flush();
    };
    events.snapshotSaved = [this](std::uint64_t index) {
        hasSnapshotFailed = false;
        if (pendingSnapshot && index == pendingSnapshot->index)
            replica->compact(index, pendingSnapshot->data);
        pendingSnapshot.reset();
    };
    events.snapshotFailed = [this](const Error &error) {
        if (!std::exchange(hasSnapshotFailed, true))
            logEvent(LogEvent::SnapshotFailed, error);
        pendingSnapshot.reset();
    };
    events.removalFailed = [](const Error &error) {
        logEvent(LogEvent::StorageRemovalFailed, error);
    };
    events.stalled = [this](const Error &error) {
        storageError = error.detail;
        logEvent(LogEvent::StorageStalled, error);
        replica->setStorageStalled(now(), true);
        flush();
    };
    events.resumed = [this] {
        storageError.clear();
        logEvent(LogEvent::StorageResumed, Step::Sync, options.name, {});
        replica->setStorageStalled(now(), false);
        flush();
    };
    events.failed = [this](const Error &error) {
        storageError = error.detail;
        hasPermanentlyFailed = true;
        logEvent(LogEvent::StorageFailed, error);
        replica->setStorageStalled(now(), true);
        flush();
    };
    return events;
}

void ReplicaTask::Private::registerHandlers()
{
    // The messenger may call the handlers after the task has been destroyed.
    const std::weak_ptr<Private *> weak = alive;
    messenger.on<ReplicaFrame>([weak](const Sender &from, ReplicaFrame &&frame) {
        const auto self = weak.lock();
        if (!self || !(*self)->replica || (*self)->hasPermanentlyFailed)
            return;
        auto message = decode<ReplicaMessage>(frame.bytes, from.name);
        if (!message)
            return;
        (*self)->replica->receive((*self)->now(), from.name, std::move(*message));
        (*self)->scheduleFlush();
    });
    messenger.on<ForwardRequest>([weak](const Sender &from, ForwardRequest &&request) {
        if (const auto self = weak.lock())
            (*self)->onForwardRequest(from, std::move(request));
    });
    messenger.on<ForwardReply>([weak](const Sender &, ForwardReply &&reply) {
        if (const auto self = weak.lock())
            (*self)->onForwardReply(std::move(reply));
    });
}

void ReplicaTask::Private::tick()
{
    if (reopenAt && now() >= *reopenAt)
        reopenReplica();
    if (replica && !hasPermanentlyFailed)
        replica->tick(now());
    newReads.insert(newReads.end(), retriedReads.begin(), retriedReads.end());
    retriedReads.clear();
    proposals.expire(now(), noLeaderDetail());
    proposals.failForwardedTo(
        [this](const std::string &peer) { return !messenger.connected(peer); });
    flush();
}

std::string ReplicaTask::Private::noLeaderDetail() const
{
    std::string why = "No leader could be reached in time, so the command was not committed.";
    if (!storageError.empty())
        why += " This replica's storage: " + storageError;
    return why;
}

std::vector<DumpRow> ReplicaTask::Private::dumpRows() const
{
    const ReplicaStatus status = owner.status();
    return {{options.name,
             {{"role", status.role},
              {"leader", status.leader},
              {"term", status.term},
              {"commit", status.commitIndex},
              {"applied", status.appliedIndex},
              {"last", status.lastIndex},
              {"snapshot", status.snapshotIndex},
              {"voters", fmt::format("{}", fmt::join(status.voters, ","))},
              {"learners", fmt::format("{}", fmt::join(status.learners, ","))},
              {"storage_error", status.storageError}}}};
}

void ReplicaTask::Private::scheduleFlush()
{
    if (isFlushScheduled)
        return;
    isFlushScheduled = true;
    loop.post([weak = std::weak_ptr<Private *>(alive)] {
        if (const auto self = weak.lock())
            (*self)->flush();
    });
}

void ReplicaTask::Private::flush()
{
    isFlushScheduled = false;
    const std::weak_ptr<Private *> weak = alive;
    routePending();
    bool appliedAny = false;
    if (replica) {
        for (const std::uint64_t id : std::exchange(newReads, {}))
            replica->read(now(), id);
        appliedAny = processOutput(replica->takeOutput());
        takeSnapshotWhenDue();
    }
    for (const auto &finished : proposals.takeFinished())
        finished();
    if (weak.expired())
        return;
    if (appliedAny)
        owner.applied.emit(appliedIndex);
    if (!weak.expired())
        updateRole();
}

bool ReplicaTask::Private::processOutput(ReplicaOutput output)
{
    for (OutgoingReplicaMessage &message : output.messages) {
        // The replication protocol recovers from lost messages.
        static_cast<void>(messenger.send(message.to, ReplicaFrame{encode(message.message)}));
    }
    if (output.write)
        writer->write(std::move(*output.write));
    if (output.restore)
        restore(*output.restore);
    for (const CommittedEntry &committed : output.committed)
        apply(committed);
    finishReads(output.reads);
    return output.restore || !output.committed.empty();
}

void ReplicaTask::Private::apply(const CommittedEntry &committed)
{
    appliedIndex = committed.index;
    std::string outcome;
    if (committed.entry.kind == EntryKind::Command) {
        outcome = machine.apply(committed.index, committed.entry.bytes);
        bytesSinceSnapshot += committed.entry.bytes.size();
    }
    proposals.complete({committed.entry.term, committed.index}, outcome);
}

void ReplicaTask::Private::restore(const Snapshot &snapshot)
{
    if (snapshot.index <= appliedIndex)
        return;
    if (auto restored = machine.restore(*snapshot.data); !restored) {
        logEvent(LogEvent::StorageFailed, restored.error());
        storageError = restored.error().detail;
        hasPermanentlyFailed = true;
        return;
    }
    appliedIndex = snapshot.index;
    bytesSinceSnapshot = 0;
    proposals.replacedBySnapshot(snapshot.index);
}

void ReplicaTask::Private::finishReads(const std::vector<ReadOutcome> &outcomes)
{
    for (const ReadOutcome &outcome : outcomes) {
        const auto waiting = reads.find(outcome.id);
        if (waiting == reads.end())
            continue;
        if (!outcome.current && now() < waiting->second.deadline) {
            retriedReads.push_back(outcome.id);
            continue;
        }
        auto found = reads.extract(waiting);
        Result<void> result;
        if (!outcome.current) {
            result = fail(Failure::Unavailable, Step::Commit, replica->leader(),
                          "No quorum confirmed in time that the local state is current.");
        }
        loop.post([callback = std::move(found.mapped().callback), result] { callback(result); });
    }
}

void ReplicaTask::Private::takeSnapshotWhenDue()
{
    const bool due = appliedIndex >= replica->snapshotIndex() + options.snapshotEntries
                     || bytesSinceSnapshot >= options.snapshotBytes;
    const auto term = replica->log().termAt(appliedIndex);
    if (!due || pendingSnapshot || !term || hasPermanentlyFailed)
        return;
    bytesSinceSnapshot = 0;
    pendingSnapshot = Snapshot{appliedIndex, *term, replica->membershipAt(appliedIndex),
                               std::make_shared<const std::string>(machine.snapshot())};
    writer->saveSnapshot(*pendingSnapshot);
}

void ReplicaTask::Private::updateRole()
{
    const bool leads = owner.isLeader();
    if (leads == wasLeader)
        return;
    wasLeader = leads;
    logEvent(leads ? LogEvent::LeaderElected : LogEvent::LeaderSteppedDown, Step::Elect,
             replica->leader(), {{"term", std::to_string(replica->term())}});
    owner.roleChanged.emit();
}

ReplicaTask::ReplicaTask(EventLoop &loop, Messenger &messenger, StateMachine &machine,
                         ReplicaTaskOptions options)
    : private_(std::make_unique<Private>(*this, loop, messenger, machine, std::move(options)))
{}

ReplicaTask::~ReplicaTask() = default;

Result<void> ReplicaTask::start()
{
    if (!private_->options.folder.empty()) {
        if (auto opened = private_->openReplicaUnlessFull(); !opened)
            return opened;
    }
    private_->registerHandlers();
    private_->ticker.startEvery(private_->options.heartbeatInterval / TicksPerHeartbeat);
    private_->scheduleFlush();
    return {};
}

void ReplicaTask::propose(std::string command, ProposeCallback callback)
{
    const TimePoint deadline = private_->now() + private_->options.proposeTimeout;
    private_->proposals.addWaiting({std::move(command), std::move(callback), deadline});
    private_->scheduleFlush();
}

void ReplicaTask::proposeLocally(std::string command, ProposeCallback callback)
{
    const TimePoint deadline = private_->now() + private_->options.proposeTimeout;
    private_->proposals.addWaiting({std::move(command), std::move(callback), deadline, true});
    private_->scheduleFlush();
}

void ReplicaTask::readBarrier(ReadCallback callback)
{
    Private &self = *private_;
    if (!self.replica || self.hasPermanentlyFailed) {
        self.loop.post([callback = std::move(callback)] {
            callback(fail(Failure::Unavailable, Step::Commit, {},
                          "This process has no replica of the state."));
        });
        return;
    }
    self.reads[self.nextRead] = {std::move(callback), self.now() + self.options.readTimeout};
    self.newReads.push_back(self.nextRead++);
    self.scheduleFlush();
}

bool ReplicaTask::isLeader() const
{
    return private_->replica && private_->replica->holdsLease(private_->now());
}

std::string ReplicaTask::leaderName() const
{
    return private_->replica ? private_->replica->leader() : private_->leaderHint;
}

ReplicaStatus ReplicaTask::status() const
{
    ReplicaStatus status;
    status.leader = leaderName();
    status.storageError = private_->storageError;
    if (!private_->replica) {
        status.role = "none";
        return status;
    }
    const Replica &replica = *private_->replica;
    status.role = replicaRoleName(replica.role());
    status.term = replica.term();
    status.commitIndex = replica.commitIndex();
    status.appliedIndex = private_->appliedIndex;
    status.lastIndex = replica.log().lastIndex();
    status.snapshotIndex = replica.snapshotIndex();
    for (const Member &member : replica.membership().members)
        (member.voter ? status.voters : status.learners).push_back(member.name);
    return status;
}

Result<void> ReplicaTask::addReplica(const std::string &name)
{
    if (!private_->replica)
        return fail(Failure::NotLeader, Step::Join, {}, "This process has no replica.");
    auto added = private_->replica->addReplica(private_->now(), name);
    private_->scheduleFlush();
    return added.map([](const LogPosition &) {});
}

void ReplicaTask::resign()
{
    if (!private_->replica)
        return;
    private_->replica->resign(private_->now());
    private_->scheduleFlush();
}

Result<void> ReplicaTask::removeReplica(const std::string &name)
{
    if (!private_->replica)
        return fail(Failure::NotLeader, Step::Leave, {}, "This process has no replica.");
    auto removed = private_->replica->removeReplica(private_->now(), name);
    private_->scheduleFlush();
    return removed.map([](const LogPosition &) {});
}

std::vector<std::string> ReplicaTask::unresponsiveVoters(Duration age) const
{
    if (!isLeader())
        return {};
    return private_->replica->unresponsiveVoters(private_->now(), age);
}

void ReplicaTask::setJoinTargets(std::set<std::string> names, bool rejoin)
{
    if (private_->replica)
        private_->replica->setJoinTargets(std::move(names), rejoin);
}

} // namespace Oleander
