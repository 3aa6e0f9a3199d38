#include "Records/recordbook.h"

#include "Protocol/codec.h"
#include "Records/recordevents.h"
#include "Records/timetext.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Records {

namespace {

std::string authorAndTime(const Record &record)
{
    return fmt::format("{} at {}", record.author, timeText(record.changedAt));
}

/** Answer to a change whose revision is outdated or missing; names the last author. */
Change revisionConflict(const RecordKey &key, const Record &inForce,
                        std::optional<std::uint64_t> ifMatch)
{
    auto detail = fmt::format("Record {} is in force as revision {}, written by {}", keyText(key),
                              inForce.revision, authorAndTime(inForce));
    if (ifMatch) {
        detail += fmt::format("; this command was made for revision {} and changed nothing. Read "
                              "the record and name revision {}.",
                              *ifMatch, inForce.revision);
    } else {
        detail += fmt::format("; this command named no revision and changed nothing. To amend the "
                              "record, name revision {}.",
                              inForce.revision);
    }
    return {key, ChangeResult::Conflict, inForce.revision, std::move(detail), inForce};
}

Change missingRecord(const RecordKey &key)
{
    return {key, ChangeResult::Missing, 0,
            fmt::format("There is no record {}; nothing was changed.", keyText(key)), std::nullopt};
}

/** Answer to an amendment of a withdrawn record. */
Change amendedAfterWithdrawal(const RecordKey &key, const Record &record)
{
    return {key, ChangeResult::Conflict, record.revision,
            fmt::format("Record {} was withdrawn by {} as revision {}; nothing was changed. To put "
                        "it in force again, submit it without a revision.",
                        keyText(key), authorAndTime(record), record.revision),
            record};
}

std::string encodeContent(const Submit &command)
{
    Submit content = command;
    content.origin = {};
    return "submit" + encode(content);
}

std::string encodeContent(const Withdraw &command)
{
    Withdraw content = command;
    content.origin = {};
    return "withdraw" + encode(content);
}

} // namespace

ChangeOutcome RecordBook::apply(std::uint64_t index, const Submit &command,
                                std::vector<EventDraft> &events)
{
    const auto content = encodeContent(command);
    if (auto first = idempotencyTable_.find(command.origin, content))
        return std::move(*first);
    ChangeOutcome outcome{false, index, {submit(index, command, events)}};
    idempotencyTable_.insert(command.origin, content, outcome);
    return outcome;
}

ChangeOutcome RecordBook::apply(std::uint64_t index, const Withdraw &command,
                                std::vector<EventDraft> &events)
{
    const auto content = encodeContent(command);
    if (auto first = idempotencyTable_.find(command.origin, content))
        return std::move(*first);
    ChangeOutcome outcome{false, index, {}};
    outcome.changes.reserve(command.keys.size());
    const bool isBulk = command.keys.size() > 1;
    for (const auto &key : command.keys) {
        outcome.changes.push_back(withdraw(index, command, key, events));
        if (isBulk)
            outcome.changes.back().record.reset();
    }
    evictWithdrawn();
    idempotencyTable_.insert(command.origin, content, outcome);
    return outcome;
}

Change RecordBook::submit(std::uint64_t index, const Submit &command,
                          std::vector<EventDraft> &events)
{
    if (kindOf(command.spec) != command.key.kind) {
        return {command.key, ChangeResult::Refused, 0,
                fmt::format("The body is that of a {}, the name that of {}; nothing was changed.",
                            kindName(kindOf(command.spec)), keyText(command.key)),
                std::nullopt};
    }
    const auto *current = find(command.key);
    if (!current)
        return command.ifMatch ? missingRecord(command.key) : store(index, command, events);
    if (current->withdrawn) {
        return command.ifMatch ? amendedAfterWithdrawal(command.key, *current)
                               : store(index, command, events);
    }
    if (command.ifMatch == current->revision)
        return store(index, command, events);
    const bool isSame = current->schema == command.schema && current->spec == command.spec;
    if (!command.ifMatch && isSame) {
        return {command.key, ChangeResult::Unchanged, current->revision,
                fmt::format("Record {} already says this as revision {}, written by {}.",
                            keyText(command.key), current->revision, authorAndTime(*current)),
                *current};
    }
    return revisionConflict(command.key, *current, command.ifMatch);
}

Change RecordBook::store(std::uint64_t index, const Submit &command,
                         std::vector<EventDraft> &events)
{
    auto &record = records_[command.key];
    const bool isAmendment = record.revision > 0 && !record.withdrawn;
    if (record.withdrawn)
        withdrawn_.erase({record.index, command.key});
    const auto revision = std::max(record.revision, record.revision == 0 ? revisionFloor_ : 0) + 1;
    record = {command.key.kind,      command.key.name, command.schema, revision,
              command.origin.author, command.spec,     false,          index,
              command.origin.time};
    events.push_back(submittedEvent(record));
    return {command.key, isAmendment ? ChangeResult::Amended : ChangeResult::Created, revision,
            fmt::format("Record {} is accepted as revision {}.", keyText(command.key), revision),
            record};
}

Change RecordBook::withdraw(std::uint64_t index, const Withdraw &command, const RecordKey &key,
                            std::vector<EventDraft> &events)
{
    const auto found = records_.find(key);
    if (found == records_.end())
        return missingRecord(key);
    auto &record = found->second;
    if (record.withdrawn) {
        return {key, ChangeResult::AlreadyWithdrawn, record.revision,
                fmt::format("Record {} was already withdrawn by {}.", keyText(key),
                            authorAndTime(record)),
                record};
    }
    if (command.ifMatch && *command.ifMatch != record.revision)
        return revisionConflict(key, record, command.ifMatch);
    record.withdrawn = true;
    ++record.revision;
    record.author = command.origin.author;
    record.index = index;
    record.changedAt = command.origin.time;
    withdrawn_.emplace(index, key);
    events.push_back(withdrawnEvent(record));
    return {key, ChangeResult::Withdrawn, record.revision,
            fmt::format("Record {} is withdrawn as revision {}.", keyText(key), record.revision),
            record};
}

const Record *RecordBook::find(const RecordKey &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

void RecordBook::setMaxWithdrawn(std::size_t maxWithdrawn)
{
    maxWithdrawn_ = maxWithdrawn;
    evictWithdrawn();
}

void RecordBook::evictWithdrawn()
{
    while (withdrawn_.size() > maxWithdrawn_) {
        const auto found = records_.find(withdrawn_.begin()->second);
        // Revisions of a reused name must not restart at 1: a delayed amendment with a low revision
        // would then apply to the wrong record.
        revisionFloor_ = std::max(revisionFloor_, found->second.revision);
        records_.erase(found);
        withdrawn_.erase(withdrawn_.begin());
    }
}

} // namespace Oleander::Records
