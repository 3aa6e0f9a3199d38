#include "Placement/clusterview.h"

#include "Placement/fitting.h"
#include "Placement/workerledger.h"

#include <algorithm>

namespace Oleander::Placement {

namespace {

constexpr Duration MaxReportAge = std::chrono::seconds(60);

/** Highest committed share of any resource. */
double loadOf(const WorkerView &worker)
{
    const auto share = [](double available, double capacity) {
        return capacity > 0 ? 1.0 - available / capacity : 0.0;
    };
    return std::max({share(worker.available.milliCores, worker.capacity.milliCores),
                     share(static_cast<double>(worker.available.memoryMiB),
                           static_cast<double>(worker.capacity.memoryMiB)),
                     share(worker.available.accelerators, worker.capacity.accelerators)});
}

} // namespace

ViewId ClusterView::setWorker(const std::string &name, const Location &location,
                              const Resources &capacity, bool accepts)
{
    const auto [entry, isNew] = workerIds_.try_emplace(name, static_cast<ViewId>(workers_.size()));
    if (isNew) {
        workers_.emplace_back();
        loads_.push_back(-1);
    }
    WorkerView &worker = workers_[entry->second];
    worker.name = name;
    worker.failureDomain = intern("domain/" + location.region + "/" + location.failureDomain);
    worker.rack =
        intern("rack/" + location.region + "/" + location.failureDomain + "/" + location.rack);
    worker.capacity = capacity;
    worker.accepts = accepts;
    updateAvailability(entry->second);
    return entry->second;
}

Resident &ClusterView::add(const TaskTraits &traits, ViewId worker, TimePoint now)
{
    remove(traits.id, now);
    Resident &resident = residents_[traits.id];
    resident.traits = traits;
    resident.worker = worker;
    resident.since = now;
    workers_[worker].residents.push_back(&resident);
    updateGroupCounts(resident, 1);
    updateAvailability(worker);
    setUsage(resident, coresOf(traits.declared), static_cast<double>(traits.declared.memoryMiB));
    return resident;
}

void ClusterView::remove(const std::string &task, TimePoint now)
{
    const auto found = residents_.find(task);
    if (found == residents_.end())
        return;
    Resident &resident = found->second;
    const ViewId worker = resident.worker;
    std::vector<FormerResident> &former = workers_[worker].former;
    std::erase_if(former, [&](const auto &old) { return old.until + MaxReportAge < now; });
    former.push_back({resident.traits.kind, resident.cores, resident.since, now});
    setUsage(resident, 0, 0);
    std::erase(workers_[worker].residents, &resident);
    updateGroupCounts(resident, -1);
    residents_.erase(found);
    updateAvailability(worker);
}

Resident *ClusterView::find(const std::string &task)
{
    const auto found = residents_.find(task);
    return found == residents_.end() ? nullptr : &found->second;
}

void ClusterView::setUsage(Resident &resident, double cores, double memoryMiB)
{
    WorkerView &worker = workers_[resident.worker];
    worker.coresUsed += cores - resident.cores;
    worker.memoryUsed += memoryMiB - resident.memoryMiB;
    resident.cores = cores;
    resident.memoryMiB = memoryMiB;
}

ViewId ClusterView::intern(const std::string &text)
{
    return interned_.try_emplace(text, static_cast<ViewId>(interned_.size())).first->second;
}

ViewId ClusterView::workerId(const std::string &name) const
{
    const auto found = workerIds_.find(name);
    return found == workerIds_.end() ? NoViewId : found->second;
}

std::uint32_t ClusterView::groupInDomain(ViewId group, ViewId failureDomain) const
{
    const auto found = groupCounts_.find({group, failureDomain});
    return found == groupCounts_.end() ? 0 : found->second;
}

std::uint32_t ClusterView::groupInRack(ViewId group, ViewId rack) const
{
    return groupInDomain(group, rack);
}

std::uint32_t ClusterView::groupSize(ViewId group) const
{
    return groupInDomain(group, NoViewId);
}

void ClusterView::updateGroupCounts(const Resident &resident, int delta)
{
    if (resident.traits.group == NoViewId)
        return;
    const WorkerView &worker = workers_[resident.worker];
    for (const ViewId place : {worker.failureDomain, worker.rack, NoViewId}) {
        std::uint32_t &counted = groupCounts_[{resident.traits.group, place}];
        counted += static_cast<std::uint32_t>(delta);
        if (counted == 0)
            groupCounts_.erase({resident.traits.group, place});
    }
}

void ClusterView::updateAvailability(ViewId viewId)
{
    WorkerView &worker = workers_[viewId];
    Resources committed;
    for (const Resident *resident : worker.residents)
        committed = sum(committed, resident->traits.declared);
    worker.available = remainder(worker.capacity, committed);
    byLoad_.erase({loads_[viewId], viewId});
    if (worker.accepts && fitsInto(committed, worker.capacity)) {
        loads_[viewId] = loadOf(worker);
        byLoad_.insert({loads_[viewId], viewId});
        tree_.set(viewId, worker.available);
    } else {
        tree_.exclude(viewId);
    }
}

} // namespace Oleander::Placement
