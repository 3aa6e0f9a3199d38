#include "Placement/property.h"
#include "State/controlstate.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Oleander;
using namespace Oleander::Records;
using namespace Oleander::State;

namespace {

constexpr int Replicas = 3;
constexpr int Operators = 3;
constexpr int Names = 3;
constexpr int Steps = 120;

/** A command of an operator's client, which resends it until it receives the outcome. */
struct SentCommand
{
    Command command;
    Origin origin;
    std::optional<ChangeOutcome> firstAnswer;
};

/** A replica, the number of log entries that it has applied and its latest snapshot. */
struct Replica
{
    std::unique_ptr<ControlState> state = std::make_unique<ControlState>();
    std::size_t applied = 0;
    std::string snapshot;
    std::size_t snapshotAt = 0;
};

/** Operators send concurrent commands through several entries; replicas lag, restart and restore
 * snapshots. */
class Model
{
public:
    Model() : replicas_(Replicas) {}

    void step()
    {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
            sendNew();
            break;
        case 3:
            sendAgain();
            break;
        case 4:
            restart(randomIndex(Replicas));
            break;
        case 5:
            takeSnapshot(randomIndex(Replicas));
            break;
        default:
            catchUp(randomIndex(Replicas), log_.size());
        }
    }

    void finish()
    {
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            catchUp(i, log_.size());
        for (const auto &replica : replicas_)
            RC_ASSERT(replica.state->snapshot() == replicas_[0].state->snapshot());
        // Each accepted change increments the revision once, so none is lost or applied twice.
        for (const auto &[key, record] : replicas_[0].state->records().records())
            RC_ASSERT(record.revision == accepted_[key]);
    }

private:
    static std::size_t randomIndex(int count)
    {
        return static_cast<std::size_t>(*rc::gen::inRange(0, count));
    }

    RecordKey randomKey()
    {
        const auto kind = *rc::gen::element(RecordKind::Batch, RecordKind::Configuration);
        return {kind, "n" + std::to_string(*rc::gen::inRange(0, Names))};
    }
    Spec randomSpec(RecordKind kind)
    {
        const auto text = std::to_string(*rc::gen::inRange(0, 4));
        if (kind == RecordKind::Batch)
            return BatchSpec{"team", {100, 64, 0}, text};
        return ConfigurationSpec{{{"x", text}}};
    }
    /** Revision that an operator read from a random replica, which may lag; sometimes none. */
    std::optional<std::uint64_t> readRevision(const RecordKey &key)
    {
        const auto *record = replicas_[randomIndex(Replicas)].state->records().find(key);
        if (!record || *rc::gen::inRange(0, 4) == 0)
            return std::nullopt;
        return record->revision;
    }

    void sendNew()
    {
        const Origin origin{"operator-" + std::to_string(randomIndex(Operators)),
                            "key-" + std::to_string(sent_.size()),
                            WallTime(std::chrono::seconds(log_.size()))};
        const auto key = randomKey();
        if (*rc::gen::inRange(0, 5) == 0) {
            sent_.push_back({Withdraw{origin, {key, randomKey()}, {}}, origin, {}});
        } else {
            sent_.push_back(
                {Submit{origin, key, 2, randomSpec(key.kind), readRevision(key)}, origin, {}});
        }
        append(sent_.size() - 1);
    }
    /** Simulates a lost outcome: the client resends the same command through another entry. */
    void sendAgain()
    {
        if (!sent_.empty())
            append(*rc::gen::inRange<std::size_t>(0, sent_.size()));
    }
    void append(std::size_t index)
    {
        log_.push_back({index, encodeCommand(sent_[index].command)});
        if (*rc::gen::inRange(0, 2) == 0)
            catchUp(randomIndex(Replicas), log_.size());
    }

    void catchUp(std::size_t index, std::size_t end)
    {
        Replica &replica = replicas_[index];
        while (replica.applied < end) {
            const auto &[command, bytes] = log_[replica.applied++];
            const auto answer =
                outcomeOf<ChangeOutcome>(replica.state->apply(replica.applied, bytes));
            RC_ASSERT(answer.has_value());
            checkAnswer(sent_[command], replica.applied, *answer);
        }
    }

    /** Checks an outcome; every replica must return the same one, also for a resent command. */
    void checkAnswer(SentCommand &sent, std::uint64_t index, const ChangeOutcome &answer)
    {
        if (!sent.firstAnswer) {
            RC_ASSERT(!answer.replayed);
            RC_ASSERT(answer.index == index);
            sent.firstAnswer = answer;
            for (const auto &change : answer.changes)
                checkFirstAnswer(sent, change);
            return;
        }
        // Resent commands and other replicas give the same outcome; only `replayed` may differ.
        RC_ASSERT(answer.changes == sent.firstAnswer->changes);
        RC_ASSERT(answer.index == sent.firstAnswer->index);
    }

    void checkFirstAnswer(const SentCommand &sent, const Change &change)
    {
        const bool isChanged = change.result == ChangeResult::Created
                               || change.result == ChangeResult::Amended
                               || change.result == ChangeResult::Withdrawn;
        if (isChanged) {
            // Of two changes that name the same revision only one succeeds.
            const auto *submit = std::get_if<Submit>(&sent.command);
            const bool follows =
                !submit || !submit->ifMatch || *submit->ifMatch + 1 == change.revision;
            RC_ASSERT(follows);
            RC_ASSERT(change.revision == ++accepted_[change.key]);
            authors_[{change.key, change.revision}] = sent.origin.author;
            return;
        }
        if (change.result != ChangeResult::Conflict)
            return;
        // A conflict names the author of the accepted change, which stays in force.
        RC_ASSERT(change.record.has_value());
        RC_ASSERT(change.record->revision == accepted_[change.key]);
        const auto &author = authors_[{change.key, change.record->revision}];
        RC_ASSERT(change.record->author == author);
        RC_ASSERT(change.detail.find(author) != std::string::npos);
    }

    void takeSnapshot(std::size_t index)
    {
        replicas_[index].snapshot = replicas_[index].state->snapshot();
        replicas_[index].snapshotAt = replicas_[index].applied;
    }
    void restart(std::size_t index)
    {
        Replica &replica = replicas_[index];
        replica.state = std::make_unique<ControlState>();
        replica.applied = 0;
        if (replica.snapshot.empty())
            return;
        RC_ASSERT(replica.state->restore(replica.snapshot).has_value());
        replica.applied = replica.snapshotAt;
    }

    std::vector<Replica> replicas_;
    std::vector<SentCommand> sent_;
    /** Committed entries: index of the command in sent_, and its encoding. */
    std::vector<std::pair<std::size_t, std::string>> log_;
    std::map<RecordKey, std::uint64_t> accepted_;
    std::map<std::pair<RecordKey, std::uint64_t>, std::string> authors_;
};

} // namespace

TEST_CASE("No change is lost or applied twice when operators race, resend and read stale replicas")
{
    const auto failure = Testing::propertyFailure(7, 1000, [] {
        Model model;
        for (int i = 0; i < Steps; ++i)
            model.step();
        model.finish();
    });
    INFO(failure);
    CHECK(failure.empty());
}
