#include "Control/simulation.h"

#include "Protocol/codec.h"

#include <algorithm>
#include <cstring>

namespace Oleander {

namespace {

constexpr std::int64_t Millisecond = 1000;
constexpr std::int64_t TickPeriod = 20 * Millisecond;
constexpr std::int64_t ClientPeriod = 7 * Millisecond;
constexpr std::int64_t FaultPeriod = 200 * Millisecond;
constexpr std::int64_t LongFreeze = 3000 * Millisecond;
constexpr std::int64_t HealTime = 12000 * Millisecond;
constexpr std::uint64_t FirstIncarnation = 100;

std::uint64_t mix(std::uint64_t hash, const LogEntry &entry)
{
    return (hash ^ std::hash<std::string>()(entry.bytes)) * 0x9e3779b97f4a7c15ULL + entry.term;
}

std::string hashBytes(std::uint64_t hash)
{
    // Several chunks long, so that a fault can interrupt a transfer.
    return std::string(100, static_cast<char>('a' + hash % 26)) + std::to_string(hash);
}

std::uint64_t hashFromBytes(const std::string &bytes)
{
    return std::stoull(bytes.substr(100));
}

} // namespace

void Simulation::Disk::write(const WriteBatch &batch)
{
    if (batch.hardState)
        hardState = *batch.hardState;
    if (batch.snapshot) {
        snapshot = *batch.snapshot;
        entries.clear();
        firstIndex = snapshot.index + 1;
    }
    if (batch.entries.empty())
        return;
    if (entries.empty() || batch.firstIndex < firstIndex)
        firstIndex = batch.firstIndex;
    if (batch.firstIndex >= firstIndex)
        entries.resize(batch.firstIndex - firstIndex);
    entries.insert(entries.end(), batch.entries.begin(), batch.entries.end());
}

StoredReplica Simulation::Disk::stored() const
{
    StoredReplica result{hardState, snapshot, entries};
    const std::uint64_t covered = snapshot.index + 1 - firstIndex;
    if (snapshot.index + 1 > firstIndex) {
        const bool continuesSnapshot =
            covered <= entries.size() && entries[covered - 1].term == snapshot.term;
        if (continuesSnapshot)
            result.entries.erase(result.entries.begin(),
                                 result.entries.begin() + static_cast<std::ptrdiff_t>(covered));
        else
            result.entries.clear();
    }
    return result;
}

Simulation::Simulation(std::uint64_t seed, SimulationFaults faults)
    : random_(seed), faults_(faults), seed_(seed)
{
    names_ = {"a", "b", "c"};
    for (const std::string &name : names_) {
        Node &node = nodes_[name];
        node.rate =
            1.0
            + static_cast<double>(between(-faults.driftThousandths, faults.driftThousandths))
                  / 1000.0;
        node.offset = between(0, 1'000'000'000);
        start(name);
        tickNode(name);
    }
}

TimePoint Simulation::localNow(const std::string &name) const
{
    const Node &node = nodes_.at(name);
    return TimePoint(Duration(
        node.offset + static_cast<std::int64_t>(static_cast<double>(now_) * node.rate) + 1));
}

std::int64_t Simulation::between(std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
}

void Simulation::schedule(std::int64_t at, std::function<void()> action)
{
    events_.push({at, order_++, std::move(action)});
}

/** Runs \a action once the node is not frozen, unless it crashes first. */
void Simulation::atNode(const std::string &name, std::int64_t at,
                        std::function<void(Node &)> action)
{
    const std::uint64_t epoch = nodes_.at(name).epoch;
    schedule(at, [this, name, epoch, action = std::move(action)] {
        Node &node = nodes_.at(name);
        if (node.epoch != epoch || !node.replica)
            return;
        if (now_ < node.frozenUntil) {
            atNode(name, node.frozenUntil, action);
            return;
        }
        action(node);
        collect(name);
    });
}

void Simulation::tickNode(const std::string &name)
{
    schedule(now_ + TickPeriod, [this, name] {
        Node &node = nodes_.at(name);
        if (node.replica && now_ >= node.frozenUntil) {
            node.replica->tick(localNow(name));
            collect(name);
        }
        tickNode(name);
    });
}

void Simulation::start(const std::string &name)
{
    Node &node = nodes_.at(name);
    ++node.epoch;
    node.frozenUntil = 0;
    node.diskFreeAt = now_;
    node.applied = 0;
    node.stateHash = 0;
    node.readFloors.clear();
    ReplicaOptions options;
    options.name = name;
    options.initialIncarnation = FirstIncarnation + 1000 * node.lostDisks;
    options.initialReplicas = {"a", "b", "c"};
    options.snapshotChunkBytes = 30;
    options.trailingEntries = 5;
    options.maxAppendBytes = 600;
    options.maxInflightBytes = 3000;
    options.seed = random_();
    node.replica.emplace(options, node.disk.stored(), localNow(name));
    collect(name);
}

void Simulation::collect(const std::string &name)
{
    Node &node = nodes_.at(name);
    ReplicaOutput output = node.replica->takeOutput();
    for (OutgoingReplicaMessage &message : output.messages)
        sendMessage(name, std::move(message));
    if (output.write)
        startWrite(name, *output.write);
    if (output.restore)
        restoreState(name, node, *output.restore);
    for (const CommittedEntry &entry : output.committed)
        applyEntry(name, node, entry);
    for (const ReadOutcome &read : output.reads) {
        const auto floor = node.readFloors.find(read.id);
        if (floor == node.readFloors.end())
            continue;
        if (read.current && node.applied < floor->second)
            reportViolation(name + " served a stale read");
        readsServed_ += read.current ? 1 : 0;
        node.readFloors.erase(floor);
    }
    checkNode(name, node);
}

void Simulation::sendMessage(const std::string &from, OutgoingReplicaMessage message)
{
    if (const auto *vote = std::get_if<VoteReply>(&message.message.body)) {
        const auto voter = std::pair(from, message.message.incarnation);
        if (vote->granted && allVoters_.count(voter) == 0)
            reportViolation(from + " voted although its incarnation never was a voter");
    }
    if (!faultsDisabled_ && randomPercent() < faults_.dropPercent)
        return;
    const unsigned copies = !faultsDisabled_ && randomPercent() < faults_.duplicatePercent ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        std::int64_t delay = between(1 * Millisecond, 6 * Millisecond);
        if (!faultsDisabled_ && randomPercent() < faults_.slowPercent)
            delay = between(5 * Millisecond, 900 * Millisecond);
        schedule(now_ + delay, [this, from, message] { deliver(from, message); });
    }
}

void Simulation::deliver(const std::string &from, const OutgoingReplicaMessage &message)
{
    const auto found = nodes_.find(message.to);
    if (found == nodes_.end() || !found->second.replica || cutLinks_.count({from, message.to}) > 0)
        return;
    atNode(message.to, now_, [this, from, message](Node &node) {
        node.replica->receive(localNow(message.to), from, message.message);
    });
}

void Simulation::startWrite(const std::string &name, const WriteBatch &batch)
{
    Node &node = nodes_.at(name);
    node.writing.push_back(batch);
    node.diskFreeAt = std::max(node.diskFreeAt, now_) + between(100, 4 * Millisecond);
    const std::uint64_t epoch = node.epoch;
    const std::uint64_t sequence = batch.sequence;
    schedule(node.diskFreeAt, [this, name, epoch, sequence] {
        Node &target = nodes_.at(name);
        if (target.epoch != epoch)
            return;
        // Earlier writes are completed too. On a full disk the write waits for space.
        if (target.disk.full)
            return;
        while (!target.writing.empty() && target.writing.front().sequence <= sequence) {
            target.disk.write(target.writing.front());
            target.writing.pop_front();
        }
        atNode(name, now_, [this, name, sequence](Node &awake) {
            awake.replica->writesSynced(localNow(name), sequence);
        });
    });
}

void Simulation::applyEntry(const std::string &name, Node &node, const CommittedEntry &entry)
{
    if (entry.index != node.applied + 1)
        reportViolation(name + " skipped a committed entry");
    node.applied = entry.index;
    node.stateHash = mix(node.stateHash, entry.entry);
    if (entry.index <= committed_.size()) {
        if (!(committed_[entry.index - 1] == entry.entry))
            reportViolation(name + " committed another entry at index "
                            + std::to_string(entry.index));
        return;
    }
    committed_.push_back(entry.entry);
    stateHashes_.push_back(node.stateHash);
    if (entry.entry.kind == EntryKind::Membership)
        committedMembership_ = *decode<Membership>(entry.entry.bytes);
}

void Simulation::restoreState(const std::string &name, Node &node, const Snapshot &snapshot)
{
    node.applied = snapshot.index;
    node.stateHash = hashFromBytes(*snapshot.data);
    if (snapshot.index >= stateHashes_.size() || node.stateHash != stateHashes_[snapshot.index])
        reportViolation(name + " restored a state that differs from the committed one");
}

void Simulation::checkNode(const std::string &name, const Node &node)
{
    for (const Member &member : node.replica->membership().members) {
        if (member.voter)
            allVoters_.insert({member.name, member.incarnation});
    }
    if (node.replica->role() != ReplicaRole::Leader)
        return;
    const std::string identity = name + "#" + std::to_string(node.replica->incarnation());
    const auto known = leaders_.emplace(node.replica->term(), identity).first;
    if (known->second != identity)
        reportViolation("two leaders in term " + std::to_string(node.replica->term()));
}

void Simulation::checkLogs()
{
    for (const auto &[oneName, one] : nodes_) {
        for (const auto &[otherName, other] : nodes_) {
            if (!one.replica || !other.replica || oneName >= otherName)
                continue;
            const ReplicaLog &left = one.replica->log();
            const ReplicaLog &right = other.replica->log();
            std::uint64_t index = std::min(left.lastIndex(), right.lastIndex());
            const std::uint64_t base = std::max(left.baseIndex(), right.baseIndex());
            bool equal = false;
            for (; index > base; --index) {
                const bool sameTerm = left.at(index).term == right.at(index).term;
                if (equal && !sameTerm)
                    reportViolation("logs differ before an entry that they share");
                if (sameTerm && !(left.at(index) == right.at(index)))
                    reportViolation("two entries with the same term and index differ");
                equal = equal || sameTerm;
            }
        }
    }
}

void Simulation::reportViolation(const std::string &what)
{
    violations_.push_back("seed " + std::to_string(seed_) + " at " + std::to_string(now_)
                          + " us: " + what);
}

std::string Simulation::leader() const
{
    std::string found;
    std::uint64_t term = 0;
    for (const auto &[name, node] : nodes_) {
        const bool leads = node.replica && node.replica->role() == ReplicaRole::Leader;
        if (leads && now_ >= node.frozenUntil && node.replica->term() >= term) {
            found = name;
            term = node.replica->term();
        }
    }
    return found;
}

bool Simulation::propose(const std::string &name, const std::string &command)
{
    Node &node = nodes_.at(name);
    if (!node.replica || now_ < node.frozenUntil)
        return false;
    const bool appended = node.replica->propose(localNow(name), command).has_value();
    collect(name);
    return appended;
}

void Simulation::read(const std::string &name)
{
    Node &node = nodes_.at(name);
    if (!node.replica || now_ < node.frozenUntil)
        return;
    const std::uint64_t id = node.nextRead++;
    node.readFloors[id] = committed_.size();
    node.replica->read(localNow(name), id);
    collect(name);
}

void Simulation::crash(const std::string &name)
{
    Node &node = nodes_.at(name);
    if (!node.replica)
        return;
    // Any number of pending writes may have reached the disk completely; a torn write counts as not
    // written.
    const auto reached = node.disk.full ? 0 : between(0, std::ssize(node.writing));
    for (std::int64_t i = 0; i < reached; ++i)
        node.disk.write(node.writing[static_cast<std::size_t>(i)]);
    node.writing.clear();
    node.replica.reset();
    ++node.epoch;
}

void Simulation::restart(const std::string &name)
{
    if (!nodes_.at(name).replica)
        start(name);
}

void Simulation::loseDisk(const std::string &name)
{
    crash(name);
    Node &node = nodes_.at(name);
    node.disk = Disk();
    ++node.lostDisks;
    nodesWithLostDisk_.insert(name);
    restart(name);
}

void Simulation::freeze(const std::string &name, Duration length)
{
    nodes_.at(name).frozenUntil = now_ + length.count();
}

void Simulation::cut(const std::string &from, const std::string &to)
{
    cutLinks_.insert({from, to});
}

void Simulation::setDiskFull(const std::string &name, bool full)
{
    Node &node = nodes_.at(name);
    if (node.disk.full == full)
        return;
    node.disk.full = full;
    if (!node.replica)
        return;
    node.replica->setStorageStalled(localNow(name), full);
    collect(name);
    if (full || node.writing.empty())
        return;
    while (!node.writing.empty()) {
        const std::uint64_t sequence = node.writing.front().sequence;
        node.disk.write(node.writing.front());
        node.writing.pop_front();
        atNode(name, now_, [this, name, sequence](Node &awake) {
            awake.replica->writesSynced(localNow(name), sequence);
        });
    }
}

void Simulation::takeSnapshot(const std::string &name)
{
    Node &node = nodes_.at(name);
    if (!node.replica || node.disk.full || node.applied <= node.replica->snapshotIndex())
        return;
    const std::uint64_t index = node.applied;
    const auto term = node.replica->log().termAt(index);
    if (!term)
        return;
    const auto data = std::make_shared<const std::string>(hashBytes(node.stateHash));
    const Snapshot snapshot{index, *term, node.replica->membershipAt(index), data};
    // The log is written while the snapshot is being saved.
    const std::uint64_t epoch = node.epoch;
    schedule(now_ + between(1 * Millisecond, 80 * Millisecond), [this, name, epoch, snapshot] {
        Node &target = nodes_.at(name);
        if (target.epoch != epoch || target.disk.full
            || snapshot.index <= target.disk.snapshot.index)
            return;
        target.disk.snapshot = snapshot;
        atNode(name, now_,
               [snapshot](Node &awake) { awake.replica->compact(snapshot.index, snapshot.data); });
    });
}

void Simulation::addNode(const std::string &name)
{
    names_.push_back(name);
    nodes_[name];
    start(name);
    tickNode(name);
}

bool Simulation::addToGroup(const std::string &name)
{
    const std::string target = leader();
    const bool done =
        !target.empty() && replica(target).addReplica(localNow(target), name).has_value();
    if (!target.empty())
        collect(target);
    return done;
}

bool Simulation::removeFromGroup(const std::string &name)
{
    const std::string target = leader();
    const bool done =
        !target.empty() && replica(target).removeReplica(localNow(target), name).has_value();
    if (!target.empty())
        collect(target);
    return done;
}

void Simulation::resign(const std::string &name)
{
    Node &node = nodes_.at(name);
    if (!node.replica || now_ < node.frozenUntil)
        return;
    node.replica->resign(localNow(name));
    collect(name);
}

std::string Simulation::randomNode()
{
    return names_[random_() % names_.size()];
}

bool Simulation::canLoseDisk() const
{
    // A lost disk is repaired once the group has committed the new incarnation as a voter.
    for (const auto &[name, node] : nodes_) {
        if (!node.replica || !committedMembership_.isVoter(name, node.replica->incarnation()))
            return false;
    }
    return true;
}

void Simulation::clientStep()
{
    if (randomPercent() < 40) {
        const std::string target =
            randomPercent() < 80 && !leader().empty() ? leader() : randomNode();
        propose(target, "command-" + std::to_string(++commands_));
        return;
    }
    // Prefer leaders: one that has been replaced without noticing could serve a stale read.
    const std::string reader = randomNode();
    if (randomPercent() < 60 && nodes_.at(reader).replica
        && nodes_.at(reader).replica->role() != ReplicaRole::Leader)
        return;
    read(reader);
}

void Simulation::faultStep()
{
    const std::string one = randomPercent() < 50 && !leader().empty() ? leader() : randomNode();
    const std::string other = randomNode();
    if (randomPercent() < 40)
        healLinks();
    for (const std::string &name : names_) {
        if (randomPercent() < 50)
            restart(name);
        if (randomPercent() < 50)
            setDiskFull(name, false);
    }
    if (randomPercent() < faults_.crash)
        crash(one);
    if (randomPercent() < faults_.freeze)
        freeze(one, Duration(between(50 * Millisecond, LongFreeze)));
    if (randomPercent() < faults_.oneWayCut)
        cut(one, other);
    if (randomPercent() < faults_.pairCut) {
        cut(one, other);
        cut(other, one);
    }
    if (randomPercent() < faults_.instantRestart) {
        const std::string restarted = randomNode();
        crash(restarted);
        restart(restarted);
    }
    if (randomPercent() < faults_.cut) {
        for (const std::string &name : names_) {
            cut(one, name);
            cut(name, one);
        }
    }
    if (randomPercent() < faults_.fullDisk)
        setDiskFull(one, true);
    if (randomPercent() < faults_.snapshot)
        takeSnapshot(randomNode());
    if (randomPercent() < faults_.lostDisk && canLoseDisk())
        loseDisk(one);
}

void Simulation::run(Duration length)
{
    const std::int64_t end = now_ + length.count();
    while (!events_.empty() && events_.top().at <= end && violations_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    now_ = end;
}

void Simulation::runWithFaults(Duration length)
{
    const std::int64_t end = now_ + length.count();
    std::int64_t nextFault = now_ + FaultPeriod;
    while (now_ < end && violations_.empty()) {
        run(Duration(ClientPeriod));
        clientStep();
        if (now_ >= nextFault) {
            faultStep();
            checkLogs();
            nextFault = now_ + FaultPeriod;
        }
    }
}

void Simulation::healAndCheck()
{
    if (!violations_.empty())
        return;
    faultsDisabled_ = true;
    healLinks();
    for (const std::string &name : names_) {
        nodes_.at(name).frozenUntil = std::min(nodes_.at(name).frozenUntil, now_);
        setDiskFull(name, false);
        restart(name);
    }
    run(Duration(HealTime));
    checkLogs();
    if (leader().empty()) {
        reportViolation("no leader after everything healed");
        return;
    }
    const std::uint64_t served = readsServed_;
    if (!propose(leader(), "last"))
        reportViolation("the leader refused a command after everything healed");
    run(std::chrono::seconds(1));
    for (const std::string &name : names_)
        read(name);
    run(std::chrono::seconds(1));
    if (readsServed_ != served + names_.size())
        reportViolation("a read failed after everything healed");
    if (committed_.empty() || committed_.back().bytes != "last")
        reportViolation("a command was not committed after everything healed");
    for (const auto &[name, node] : nodes_) {
        if (node.applied != committed_.size() || node.stateHash != stateHashes_.back())
            reportViolation(name + " did not catch up after everything healed");
        if (!committedMembership_.isVoter(name, node.replica->incarnation()))
            reportViolation(name + " is not a voter again after everything healed");
    }
}

} // namespace Oleander
