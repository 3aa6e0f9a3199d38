#pragma once

#include "Protocol/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** One attempt that occupies resources of a worker. */
struct Commitment
{
    std::string task;
    std::uint32_t attempt = 0;
    Resources size;
};

/** Returns true when \a size fits into \a room in each of its dimensions. */
bool fitsInto(const Resources &size, const Resources &room);
/** Returns \a from minus \a size, with each dimension at least zero. */
Resources remainder(const Resources &from, const Resources &size);
/** Returns the sum of both in each dimension. */
Resources sum(const Resources &a, const Resources &b);

/**
 * \class WorkerLedger
 * \brief Tracks the resources committed on each worker and refuses commitments that don't fit.
 *
 * A commitment lasts from the placement of an attempt until it is known to have ended. A worker
 * that announces less capacity than it has committed keeps its commitments and gets no new ones
 * until enough of them are released.
 */
class WorkerLedger
{
public:
    /** Sets the capacity of a worker; adds the worker if it is unknown. */
    void setCapacity(const std::string &worker, const Resources &capacity);
    bool knows(const std::string &worker) const;
    /** Returns true when \a size fits into the free resources of \a worker. */
    bool fits(const std::string &worker, const Resources &size) const;
    /**
     * Commits \a commitment; returns false and changes nothing when the worker is unknown, holds
     * a commitment for the same task, or has no room.
     */
    bool commit(const std::string &worker, const Commitment &commitment);
    /** Releases the commitment of this attempt; returns false when there is none. */
    bool release(const std::string &worker, const std::string &task, std::uint32_t attempt);

    Resources capacity(const std::string &worker) const;
    Resources committed(const std::string &worker) const;
    Resources available(const std::string &worker) const;
    /** Returns the commitments on \a worker, ordered by task id. */
    std::vector<Commitment> commitments(const std::string &worker) const;
    bool isEmpty(const std::string &worker) const;

private:
    struct Account
    {
        Resources capacity;
        Resources committed;
        std::map<std::string, Commitment> commitments;
    };

    const Account *find(const std::string &worker) const;

    std::map<std::string, Account> accounts_;
};

} // namespace Oleander::Placement
