#pragma once

#include "Base/clock.h"
#include "Base/location.h"
#include "Placement/capacitytree.h"
#include "Protocol/messages.h"
#include "Records/record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Oleander::Placement {

/** Id of a worker, task kind, group or place within one ClusterView; never leaves the process. */
using ViewId = std::uint32_t;
constexpr ViewId NoViewId = UINT32_MAX;

/** Properties of a task that placement policies use. */
struct TaskTraits
{
    std::string id;
    /** Tasks of one kind (a service, or the jobs of one program) are assumed to behave alike. */
    ViewId kind = NoViewId;
    /** Record whose tasks are spread over racks or failure domains; NoViewId for batch jobs. */
    ViewId group = NoViewId;
    bool isService = false;
    bool urgent = false;
    /** True when the task may be stopped and restarted. */
    bool mayRestart = true;
    Resources declared;
    Records::Spread spread = Records::Spread::Anywhere;
    Duration latencyTarget{};
};

/** A task on a worker. */
struct Resident
{
    TaskTraits traits;
    ViewId worker = NoViewId;
    TimePoint since{};
    /** Cores used according to the last report; before the first, the expected usage or the
     * declared size. */
    double cores = 0;
    /** Memory used, from the same sources as \a cores. */
    double memoryMiB = 0;
    /** Logarithm of the last reported p99 latency in microseconds, and the time it refers to. */
    double logLatency = 0;
    TimePoint reportedAt{};
    std::uint32_t throttlePercent = 100;
    /** True while the task is being stopped: it still occupies its resources, but is not selected
     * for eviction. */
    bool isLeaving = false;
};

/** A task that recently left a worker; late reports may still refer to that time. */
struct FormerResident
{
    ViewId kind = NoViewId;
    double cores = 0;
    TimePoint since{};
    TimePoint until{};
};

/** State of a worker that placement decisions use. */
struct WorkerView
{
    std::string name;
    ViewId failureDomain = 0;
    ViewId rack = 0;
    Resources capacity;
    Resources available;
    /** False while the worker is lost, suspended, drained or shrunk. */
    bool accepts = false;
    /** Cores used by all residents, according to their last reports. */
    double coresUsed = 0;
    double memoryUsed = 0;
    std::vector<Resident *> residents;
    std::vector<FormerResident> former;
};

/**
 * \class ClusterView
 * \brief The leader's working copy of workers and residents that placement policies decide on.
 *
 * It is updated from the changes of the task book and may lag behind it; the book refuses a
 * placement that is based on an outdated view.
 */
class ClusterView
{
public:
    /** Adds or updates a worker; returns its id. */
    ViewId setWorker(const std::string &name, const Location &location, const Resources &capacity,
                     bool accepts);
    /** Adds a task to a worker, and removes it from any other worker. */
    Resident &add(const TaskTraits &traits, ViewId worker, TimePoint now);
    void remove(const std::string &task, TimePoint now);
    Resident *find(const std::string &task);
    /** Sets the processors and the memory that a resident uses. */
    void setUsage(Resident &resident, double cores, double memoryMiB);

    /** Returns the id of \a text; equal texts have equal ids. */
    ViewId intern(const std::string &text);

    const std::vector<WorkerView> &workers() const { return workers_; }
    const WorkerView &worker(ViewId viewId) const { return workers_[viewId]; }
    ViewId workerId(const std::string &name) const;
    const CapacityTree &capacities() const { return tree_; }
    /** Workers that accept tasks, ordered by load: the highest committed share of any resource. */
    const std::set<std::pair<double, ViewId>> &byLoad() const { return byLoad_; }
    /** Number of tasks of a group in a failure domain. */
    std::uint32_t groupInDomain(ViewId group, ViewId failureDomain) const;
    std::uint32_t groupInRack(ViewId group, ViewId rack) const;
    std::uint32_t groupSize(ViewId group) const;
    std::size_t residentCount() const { return residents_.size(); }

private:
    void updateAvailability(ViewId worker);
    void updateGroupCounts(const Resident &resident, int delta);

    std::vector<WorkerView> workers_;
    std::unordered_map<std::string, ViewId> workerIds_;
    std::unordered_map<std::string, ViewId> interned_;
    // WorkerView points to the elements, so the map has to keep their addresses stable.
    std::unordered_map<std::string, Resident> residents_;
    CapacityTree tree_;
    std::vector<double> loads_;
    std::set<std::pair<double, ViewId>> byLoad_;
    /** Number of tasks by group and place: a domain, a rack, or NoViewId for the whole group. */
    std::map<std::pair<ViewId, ViewId>, std::uint32_t> groupCounts_;
};

} // namespace Oleander::Placement
