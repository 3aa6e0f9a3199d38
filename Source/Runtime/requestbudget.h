#pragma once

#include "Base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Oleander {

/** Why a request was refused or a connection closed. */
enum class RefusalReason { Budget, Connections, Timeout, HeaderFields, UnexpectedBody };

constexpr std::size_t RefusalReasonCount = 5;

std::string_view refusalReasonName(RefusalReason reason);

/** What a connection is doing. */
enum class RequestPhase {
    /** No byte of a request has arrived. */
    Idle,
    /** The request is incomplete. It has not run. */
    Receiving,
    /** The request is complete and has no response. */
    Handling,
    /** The response is not completely sent. */
    Sending,
    /** The connection was refused and is about to close. */
    Closing,
};

/**
 * \class BudgetedConnection
 * \brief Connection whose memory is counted by a RequestBudget.
 */
class BudgetedConnection
{
public:
    BudgetedConnection() = default;
    virtual ~BudgetedConnection() = default;
    BudgetedConnection(const BudgetedConnection &) = delete;
    BudgetedConnection &operator=(const BudgetedConnection &) = delete;

    /** Releases the buffers and closes the connection; \a phase is the one it had before. */
    virtual void evict(RefusalReason reason, RequestPhase phase) = 0;

    RequestPhase phase() const { return phase_; }
    /** Bytes that count against the budget. */
    std::size_t heldBytes() const { return bytes_; }
    /** Time at which the current phase began. */
    TimePoint phaseStart() const { return phaseStart_; }
    /** Time of the last byte received or sent. */
    TimePoint lastProgress() const { return lastProgress_; }

private:
    friend class RequestBudget;

    std::size_t door_ = 0;
    RequestPhase phase_ = RequestPhase::Idle;
    std::size_t bytes_ = 0;
    /** Bytes received or sent in the current phase. */
    std::size_t progress_ = 0;
    TimePoint phaseStart_;
    TimePoint lastProgress_;
    bool hasServed_ = false;
    /** False once the connection no longer counts as open. */
    bool isCounted_ = false;
};

/** Limits of a RequestBudget. */
struct RequestBudgetLimits
{
    /** Bytes held for the requests and responses of all doors. */
    std::size_t maxBytes = 48U << 20U;
    /** Connections open at all doors. */
    std::size_t maxConnections = 3072;
};

/**
 * \class RequestBudget
 * \brief Decides which connections of a process to refuse or to close when their memory or their
 * number reaches its limit.
 *
 * One door may use three quarters of each limit, so that load at one door does not shut out the
 * others. Performs no I/O.
 */
class RequestBudget
{
public:
    explicit RequestBudget(RequestBudgetLimits limits) : limits_(limits) {}

    /** Adds a door with its own limit of connections; returns its number. */
    std::size_t addDoor(std::size_t maxConnections);

    /** Part of \a limit that one door may use. */
    static std::size_t doorShare(std::size_t limit) { return limit / 4 * 3; }

    /** Adds a connection; returns false if it must be refused because no other one may be closed.
     * It does not count as open then. */
    bool open(BudgetedConnection &connection, std::size_t door, TimePoint now);
    /** Removes a connection that is closed. */
    void close(BudgetedConnection &connection);

    /** Counts \a bytes of a request, and \a overhead for their parsed form; returns false if
     * the connection was evicted. */
    bool receive(BudgetedConnection &connection, std::size_t bytes, std::size_t overhead,
                 TimePoint now);
    /** Starts handling a complete request that needs \a bytes; returns false if it must be refused.
     */
    bool admit(BudgetedConnection &connection, std::size_t bytes, TimePoint now);
    /** Starts sending a response of \a bytes; \a buffered bytes of the next request are held too.
     */
    void startSending(BudgetedConnection &connection, std::size_t bytes, std::size_t buffered,
                      TimePoint now);
    /** Counts \a bytes of a response as sent. */
    void sent(BudgetedConnection &connection, std::size_t bytes, TimePoint now);
    /** Ends sending; the next request starts with \a buffered bytes. */
    void finishSending(BudgetedConnection &connection, std::size_t buffered, TimePoint now);
    /** Restarts the times of \a connection, after the process was suspended. */
    static void restartTimes(BudgetedConnection &connection, TimePoint now);
    /** Marks \a connection as refused and evicts it. */
    void refuse(BudgetedConnection &connection, RefusalReason reason);

    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t openConnections() const { return openConnections_; }
    /** Connections of \a door that were refused or closed in favour of others but are not removed
     * yet. */
    std::size_t closingConnections(std::size_t door) const
    {
        return doors_.at(door).tracked - doors_.at(door).connections;
    }
    std::uint64_t refusals(RefusalReason reason) const
    {
        return refusals_.at(static_cast<std::size_t>(reason));
    }
    /** Counts a refusal that was not decided here. */
    void countRefusal(RefusalReason reason) { ++refusals_.at(static_cast<std::size_t>(reason)); }

private:
    struct Door
    {
        std::size_t maxConnections = 0;
        /** Connections that count as open. */
        std::size_t connections = 0;
        /** Connections that are not removed. */
        std::size_t tracked = 0;
        std::size_t bytes = 0;
        std::size_t handling = 0;
    };

    void setBytes(BudgetedConnection &connection, std::size_t bytes);
    void setPhase(BudgetedConnection &connection, RequestPhase phase, TimePoint now);
    void stopCounting(BudgetedConnection &connection);
    bool isOver(const Door &door, std::size_t extra) const;
    bool canFit(const Door &door, std::size_t extra) const;
    bool makeRoom(std::size_t door, std::size_t extra, TimePoint now);
    BudgetedConnection *slowestHolder(const Door *door, TimePoint now) const;
    BudgetedConnection *leastUseful(const Door *door, TimePoint now) const;

    RequestBudgetLimits limits_;
    std::vector<Door> doors_;
    std::unordered_set<BudgetedConnection *> connections_;
    std::size_t heldBytes_ = 0;
    std::size_t openConnections_ = 0;
    std::array<std::uint64_t, RefusalReasonCount> refusals_{};
};

} // namespace Oleander
