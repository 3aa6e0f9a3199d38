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
/** Returns \a from less \a size, no dimension below zero. */
Resources remainder(const Resources &from, const Resources &size);
/** Returns the sum of both in each dimension. */
Resources sum(const Resources &a, const Resources &b);

/**
 * \class WorkerLedger
 * \brief Tracks what each worker has committed, and refuses a commitment that does not fit.
 *
 * A commitment covers an attempt from its placement until it has surely ended: while it starts,
 * runs, checkpoints and stops. A worker that announces less than it has committed keeps its
 * commitments and gets no new one until enough of them are released.
 */
class WorkerLedger
{
public:
    /** Sets the capacity of a worker; a worker of that name is made if there is none. */
    void setCapacity(const std::string &worker, const Resources &capacity);
    bool knows(const std::string &worker) const;
    /** Returns true when \a size fits into what is free on \a worker now. */
    bool fits(const std::string &worker, const Resources &size) const;
    /**
     * Commits \a commitment; returns false and changes nothing when the worker is unknown, holds
     * a commitment for the same task, or has no room.
     */
    bool commit(const std::string &worker, const Commitment &commitment);
    /** Releases the commitment of this very attempt; returns false when there is none. */
    bool release(const std::string &worker, const std::string &task, std::uint32_t attempt);

    Resources capacity(const std::string &worker) const;
    Resources committed(const std::string &worker) const;
    Resources available(const std::string &worker) const;
    /** The attempts committed on \a worker in the order of their names. */
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
