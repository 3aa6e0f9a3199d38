#include "Placement/workerledger.h"

#include <algorithm>

namespace Oleander::Placement {

bool fitsInto(const Resources &size, const Resources &room)
{
    return size.milliCores <= room.milliCores && size.memoryMiB <= room.memoryMiB
           && size.accelerators <= room.accelerators;
}

Resources remainder(const Resources &from, const Resources &size)
{
    return {from.milliCores - std::min(from.milliCores, size.milliCores),
            from.memoryMiB - std::min(from.memoryMiB, size.memoryMiB),
            from.accelerators - std::min(from.accelerators, size.accelerators)};
}

Resources sum(const Resources &a, const Resources &b)
{
    return {a.milliCores + b.milliCores, a.memoryMiB + b.memoryMiB,
            a.accelerators + b.accelerators};
}

void WorkerLedger::setCapacity(const std::string &worker, const Resources &capacity)
{
    accounts_[worker].capacity = capacity;
}

bool WorkerLedger::knows(const std::string &worker) const
{
    return find(worker) != nullptr;
}

bool WorkerLedger::fits(const std::string &worker, const Resources &size) const
{
    const Account *account = find(worker);
    if (!account)
        return false;
    // A worker whose capacity shrank below its commitments has no room, not even for a task of size
    // zero.
    return fitsInto(account->committed, account->capacity)
           && fitsInto(size, remainder(account->capacity, account->committed));
}

bool WorkerLedger::commit(const std::string &worker, const Commitment &commitment)
{
    if (!fits(worker, commitment.size))
        return false;
    Account &account = accounts_.at(worker);
    if (!account.commitments.emplace(commitment.task, commitment).second)
        return false;
    account.committed = sum(account.committed, commitment.size);
    return true;
}

bool WorkerLedger::release(const std::string &worker, const std::string &task,
                           std::uint32_t attempt)
{
    const auto account = accounts_.find(worker);
    if (account == accounts_.end())
        return false;
    const auto held = account->second.commitments.find(task);
    if (held == account->second.commitments.end() || held->second.attempt != attempt)
        return false;
    account->second.committed = remainder(account->second.committed, held->second.size);
    account->second.commitments.erase(held);
    return true;
}

Resources WorkerLedger::capacity(const std::string &worker) const
{
    const Account *account = find(worker);
    return account ? account->capacity : Resources{};
}

Resources WorkerLedger::committed(const std::string &worker) const
{
    const Account *account = find(worker);
    return account ? account->committed : Resources{};
}

Resources WorkerLedger::available(const std::string &worker) const
{
    const Account *account = find(worker);
    return account ? remainder(account->capacity, account->committed) : Resources{};
}

std::vector<Commitment> WorkerLedger::commitments(const std::string &worker) const
{
    std::vector<Commitment> list;
    if (const Account *account = find(worker)) {
        for (const auto &[task, commitment] : account->commitments)
            list.push_back(commitment);
    }
    return list;
}

bool WorkerLedger::isEmpty(const std::string &worker) const
{
    const Account *account = find(worker);
    return !account || account->commitments.empty();
}

const WorkerLedger::Account *WorkerLedger::find(const std::string &worker) const
{
    const auto account = accounts_.find(worker);
    return account == accounts_.end() ? nullptr : &account->second;
}

} // namespace Oleander::Placement
