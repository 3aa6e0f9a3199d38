#pragma once

#include "Control/replica.h"
#include "Entry/pendingproposals.h"
#include "Entry/replicatask.h"
#include "Runtime/messenger.h"
#include "Runtime/statedump.h"
#include "Storage/storagewriter.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Implementation of ReplicaTask, shared by its source files. */
struct ReplicaTask::Private
{
    Private(ReplicaTask &task, EventLoop &eventLoop, Messenger &frames, StateMachine &state,
            ReplicaTaskOptions taskOptions)
        : owner(task)
        , loop(eventLoop)
        , messenger(frames)
        , machine(state)
        , options(std::move(taskOptions))
        , ticker(loop, [this] { tick(); })
    {}

    TimePoint now() const { return loop.clock().now(); }
    Result<DataFolder> openFolder();
    Result<void> openReplica();
    /** Opens the replica, or has it opened later if the disk is full. */
    Result<void> openReplicaUnlessFull();
    void reopenReplica();
    void registerHandlers();
    void tick();
    void scheduleFlush();
    void flush();
    void routePending();
    void route(Proposal proposal);
    bool forward(Proposal &proposal);
    std::string forwardTarget() const;
    bool processOutput(ReplicaOutput output);
    void apply(const CommittedEntry &committed);
    void restore(const Snapshot &snapshot);
    void finishReads(const std::vector<ReadOutcome> &outcomes);
    void takeSnapshotWhenDue();
    void onForwardRequest(const Sender &from, ForwardRequest &&request);
    void onForwardReply(ForwardReply &&reply);
    void updateRole();
    StorageEvents storageEvents();
    std::string noLeaderDetail() const;
    std::vector<DumpRow> dumpRows() const;

    ReplicaTask &owner;
    EventLoop &loop;
    Messenger &messenger;
    StateMachine &machine;
    ReplicaTaskOptions options;
    std::optional<Replica> replica;
    PendingProposals proposals;
    struct Read
    {
        ReadCallback callback;
        TimePoint deadline;
    };
    std::map<std::uint64_t, Read> reads;
    std::uint64_t nextRead = 1;
    std::vector<std::uint64_t> newReads;
    /** Reads that failed and are retried at the next tick. */
    std::vector<std::uint64_t> retriedReads;
    std::uint64_t appliedIndex = 0;
    std::uint64_t bytesSinceSnapshot = 0;
    /** Snapshot that is being saved. */
    std::optional<Snapshot> pendingSnapshot;
    /** True if the last snapshot could not be saved. */
    bool hasSnapshotFailed = false;
    /** Time of the next attempt to open the replica, if the disk was full at the start. */
    std::optional<TimePoint> reopenAt;
    std::string storageError;
    /** True after a storage or restore failure that only a restart can clear. */
    bool hasPermanentlyFailed = false;
    bool wasLeader = false;
    bool isFlushScheduled = false;
    /** Leader named by the last forward reply; used if this process has no working replica. */
    std::string leaderHint;
    std::size_t nextPeer = 0;
    Timer ticker;
    std::unique_ptr<StorageWriter> writer;
    DumpSection dump{"replica", [this] { return dumpRows(); }};
    /** Lets posted functions and message handlers detect that the task has been destroyed. */
    std::shared_ptr<Private *> alive = std::make_shared<Private *>(this);
};

} // namespace Oleander
