#include "Runtime/requestbudget.h"

#include "Base/nametable.h"

#include <algorithm>
#include <tuple>

namespace Oleander {

namespace {

constexpr NameTable<RefusalReason, RefusalReasonCount> ReasonNames = {{
    {RefusalReason::Budget, "budget"},
    {RefusalReason::Connections, "connections"},
    {RefusalReason::Timeout, "timeout"},
    {RefusalReason::HeaderFields, "header-fields"},
    {RefusalReason::UnexpectedBody, "unexpected-body"},
}};

// Added to each age, so that the first bytes of a request give a finite rate. A longer time would
// make new requests look slow.
constexpr Duration MinAge = std::chrono::milliseconds(1);
// Within this time of its beginning a response is closed last, as the client has not had time to
// read it, and a request is not closed in favour of a new connection. Ordinary requests are
// complete within it, even under load.
constexpr Duration ActiveGrace = std::chrono::seconds(1);
// A client that completed a request may send its next one within this time. It is the time that
// clients take at most to send a head.
constexpr Duration KeepAliveGrace = std::chrono::seconds(3);

/** Bytes per second since the phase began. */
double rateOf(std::size_t progress, Duration age)
{
    return static_cast<double>(progress)
           / std::chrono::duration<double>(std::max(age, Duration::zero()) + MinAge).count();
}

} // namespace

std::string_view refusalReasonName(RefusalReason reason)
{
    return nameIn(ReasonNames, reason);
}

std::size_t RequestBudget::addDoor(std::size_t maxConnections)
{
    doors_.push_back({maxConnections});
    return doors_.size() - 1;
}

bool RequestBudget::open(BudgetedConnection &connection, std::size_t door, TimePoint now)
{
    connection.door_ = door;
    connection.phaseStart_ = now;
    connection.lastProgress_ = now;
    Door &own = doors_.at(door);
    const std::size_t doorLimit = std::min(own.maxConnections, doorShare(limits_.maxConnections));
    bool hasRoom = true;
    while (hasRoom
           && (own.connections >= doorLimit || openConnections_ >= limits_.maxConnections)) {
        auto *victim = leastUseful(own.connections >= doorLimit ? &own : nullptr, now);
        hasRoom = victim != nullptr;
        if (hasRoom)
            refuse(*victim, RefusalReason::Connections);
    }
    connections_.insert(&connection);
    ++own.tracked;
    connection.isCounted_ = hasRoom;
    if (hasRoom) {
        ++own.connections;
        ++openConnections_;
    }
    return hasRoom;
}

void RequestBudget::close(BudgetedConnection &connection)
{
    setPhase(connection, RequestPhase::Closing, connection.phaseStart_);
    setBytes(connection, 0);
    stopCounting(connection);
    connections_.erase(&connection);
    --doors_.at(connection.door_).tracked;
}

bool RequestBudget::receive(BudgetedConnection &connection, std::size_t bytes, std::size_t overhead,
                            TimePoint now)
{
    if (connection.phase_ == RequestPhase::Closing)
        return false;
    if (connection.phase_ == RequestPhase::Idle)
        setPhase(connection, RequestPhase::Receiving, now);
    connection.progress_ += bytes;
    connection.lastProgress_ = now;
    setBytes(connection, connection.bytes_ + bytes + overhead);
    static_cast<void>(makeRoom(connection.door_, 0, now));
    return connection.phase_ != RequestPhase::Closing;
}

bool RequestBudget::admit(BudgetedConnection &connection, std::size_t bytes, TimePoint now)
{
    const std::size_t received = connection.bytes_;
    setPhase(connection, RequestPhase::Handling, now);
    setBytes(connection, 0);
    // One request at a time is admitted whatever it needs, so that each legal request is served.
    const bool isAlone = doors_.at(connection.door_).handling == 1;
    if (canFit(doors_.at(connection.door_), bytes)) {
        static_cast<void>(makeRoom(connection.door_, bytes, now));
    } else if (!isAlone) {
        setBytes(connection, received);
        countRefusal(RefusalReason::Budget);
        return false;
    }
    setBytes(connection, bytes);
    return true;
}

void RequestBudget::startSending(BudgetedConnection &connection, std::size_t bytes,
                                 std::size_t buffered, TimePoint now)
{
    if (connection.phase_ == RequestPhase::Closing)
        return;
    setPhase(connection, RequestPhase::Sending, now);
    connection.hasServed_ = true;
    setBytes(connection, bytes + buffered);
    static_cast<void>(makeRoom(connection.door_, 0, now));
}

void RequestBudget::sent(BudgetedConnection &connection, std::size_t bytes, TimePoint now)
{
    if (connection.phase_ != RequestPhase::Sending)
        return;
    connection.progress_ += bytes;
    connection.lastProgress_ = now;
    setBytes(connection, connection.bytes_ - std::min(bytes, connection.bytes_));
}

void RequestBudget::finishSending(BudgetedConnection &connection, std::size_t buffered,
                                  TimePoint now)
{
    if (connection.phase_ != RequestPhase::Sending)
        return;
    setPhase(connection, buffered > 0 ? RequestPhase::Receiving : RequestPhase::Idle, now);
    setBytes(connection, buffered);
}

void RequestBudget::restartTimes(BudgetedConnection &connection, TimePoint now)
{
    connection.phaseStart_ = now;
    connection.lastProgress_ = now;
}

void RequestBudget::refuse(BudgetedConnection &connection, RefusalReason reason)
{
    const RequestPhase before = connection.phase_;
    if (before != RequestPhase::Closing)
        countRefusal(reason);
    setPhase(connection, RequestPhase::Closing, connection.phaseStart_);
    setBytes(connection, 0);
    if (reason == RefusalReason::Connections)
        stopCounting(connection);
    connection.evict(reason, before);
}

void RequestBudget::setBytes(BudgetedConnection &connection, std::size_t bytes)
{
    Door &door = doors_.at(connection.door_);
    door.bytes += bytes - connection.bytes_;
    heldBytes_ += bytes - connection.bytes_;
    connection.bytes_ = bytes;
}

void RequestBudget::setPhase(BudgetedConnection &connection, RequestPhase phase, TimePoint now)
{
    Door &door = doors_.at(connection.door_);
    if (connection.phase_ == RequestPhase::Handling)
        --door.handling;
    if (phase == RequestPhase::Handling)
        ++door.handling;
    connection.phase_ = phase;
    connection.progress_ = 0;
    connection.phaseStart_ = now;
    connection.lastProgress_ = now;
}

void RequestBudget::stopCounting(BudgetedConnection &connection)
{
    if (!connection.isCounted_)
        return;
    connection.isCounted_ = false;
    --doors_.at(connection.door_).connections;
    --openConnections_;
}

bool RequestBudget::isOver(const Door &door, std::size_t extra) const
{
    return door.bytes + extra > doorShare(limits_.maxBytes)
           || heldBytes_ + extra > limits_.maxBytes;
}

/** True if \a extra bytes fit beside the requests that are being handled. */
bool RequestBudget::canFit(const Door &door, std::size_t extra) const
{
    if (!isOver(door, extra))
        return true;
    std::size_t ofDoor = extra;
    std::size_t ofAll = extra;
    for (const auto *connection : connections_) {
        if (connection->phase_ != RequestPhase::Handling)
            continue;
        ofAll += connection->bytes_;
        ofDoor += &doors_[connection->door_] == &door ? connection->bytes_ : 0;
    }
    return ofDoor <= doorShare(limits_.maxBytes) && ofAll <= limits_.maxBytes;
}

/** Evicts connections until \a extra bytes fit; returns false if they do not. */
bool RequestBudget::makeRoom(std::size_t door, std::size_t extra, TimePoint now)
{
    const Door &own = doors_.at(door);
    while (isOver(own, extra)) {
        const bool isDoorOver = own.bytes + extra > doorShare(limits_.maxBytes);
        auto *victim = slowestHolder(isDoorOver ? &own : nullptr, now);
        if (victim == nullptr)
            return false;
        refuse(*victim, RefusalReason::Budget);
    }
    return true;
}

/** Returns the slowest of the connections that hold at least half of the average, at \a door or, if
 * it is null, at all doors. */
BudgetedConnection *RequestBudget::slowestHolder(const Door *door, TimePoint now) const
{
    const auto mayEvict = [&](const BudgetedConnection &candidate) {
        return candidate.bytes_ > 0 && (door == nullptr || &doors_[candidate.door_] == door)
               && (candidate.phase_ == RequestPhase::Receiving
                   || candidate.phase_ == RequestPhase::Sending);
    };
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto *candidate : connections_) {
        if (mayEvict(*candidate)) {
            bytes += candidate->bytes_;
            ++count;
        }
    }
    const auto rank = [&](const BudgetedConnection &candidate) {
        const Duration age = now - candidate.phaseStart_;
        const bool isFresh = candidate.phase_ == RequestPhase::Sending && age < ActiveGrace;
        return std::tuple(isFresh, rateOf(candidate.progress_, age), candidate.phaseStart_);
    };
    BudgetedConnection *slowest = nullptr;
    for (auto *candidate : connections_) {
        if (!mayEvict(*candidate) || candidate->bytes_ * 2 * count < bytes)
            continue;
        if (slowest == nullptr || rank(*candidate) < rank(*slowest))
            slowest = candidate;
    }
    return slowest;
}

/** Returns the connection to close in favour of a new one. */
BudgetedConnection *RequestBudget::leastUseful(const Door *door, TimePoint now) const
{
    enum class Class { Refused, Incomplete, Unread, Idle, Kept };
    const auto classOf = [&](const BudgetedConnection &candidate) {
        const Duration age = now - candidate.phaseStart_;
        switch (candidate.phase_) {
        case RequestPhase::Closing:
            return Class::Refused;
        case RequestPhase::Receiving:
            return age < ActiveGrace ? Class::Kept : Class::Incomplete;
        case RequestPhase::Sending:
            return age < ActiveGrace ? Class::Kept : Class::Unread;
        case RequestPhase::Idle:
            if (!candidate.hasServed_)
                return Class::Incomplete;
            return age < KeepAliveGrace ? Class::Kept : Class::Idle;
        case RequestPhase::Handling:
            break;
        }
        return Class::Kept;
    };
    const auto rank = [&](const BudgetedConnection &candidate) {
        return std::tuple(classOf(candidate),
                          rateOf(candidate.progress_, now - candidate.phaseStart_),
                          candidate.phaseStart_);
    };
    BudgetedConnection *least = nullptr;
    for (auto *candidate : connections_) {
        if (!candidate->isCounted_ || (door != nullptr && &doors_[candidate->door_] != door)
            || classOf(*candidate) == Class::Kept)
            continue;
        if (least == nullptr || rank(*candidate) < rank(*least))
            least = candidate;
    }
    return least;
}

} // namespace Oleander
