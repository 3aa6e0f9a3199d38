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

/** Number of a worker, a task kind or a group within one ClusterView; never leaves the process. */
using ViewId = std::uint32_t;
constexpr ViewId NoViewId = UINT32_MAX;

/** What a policy knows of a task before and while it runs. */
struct TaskTraits
{
    std::string id;
    /** Tasks of one kind are taken to behave alike: a service, or the jobs of one program. */
    ViewId kind = NoViewId;
    /** Record whose tasks are spread over places; NoViewId for batch jobs. */
    ViewId group = NoViewId;
    bool isService = false;
    bool urgent = false;
    /** True when the task can be stopped and started again. */
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
    /** Processors in use by the last report, or the corrected declared size before the first. */
    double cores = 0;
    /** Memory in use, likewise. */
    double memoryMiB = 0;
    /** Latency p99 of the last report as a logarithm of microseconds, and when it was true. */
    double logLatency = 0;
    TimePoint reportedAt{};
    std::uint32_t throttlePercent = 100;
    /** True while it is being stopped: it still occupies its size, but no decision moves it. */
    bool isLeaving = false;
};

/** A task that was on a worker a short while ago; late reports may still speak of that time. */
struct FormerResident
{
    ViewId kind = NoViewId;
    double cores = 0;
    TimePoint since{};
    TimePoint until{};
};

/** A worker as decisions see it. */
struct WorkerView
{
    std::string name;
    ViewId failureDomain = 0;
    ViewId rack = 0;
    Resources capacity;
    Resources available;
    /** False while the worker is lost, suspended, drained or shrunk. */
    bool accepts = false;
    /** Processors in use by the last reports. */
    double coresUsed = 0;
    double memoryUsed = 0;
    std::vector<Resident *> residents;
    std::vector<FormerResident> former;
};

/**
 * \class ClusterView
 * \brief The leader's working copy of workers and residents that placement policies decide on.
 *
 * It follows the task book by changes, and is never the source of truth: the book refuses a
 * placement that came from an outdated view.
 */
class ClusterView
{
public:
    /** Adds the worker or changes it; returns its number. */
    ViewId setWorker(const std::string &name, const Location &location, const Resources &capacity,
                     bool accepts);
    /** Puts a task on a worker; a task that is elsewhere moves. */
    Resident &add(const TaskTraits &traits, ViewId worker, TimePoint now);
    void remove(const std::string &task, TimePoint now);
    Resident *find(const std::string &task);
    /** Notes the processors and the memory that a resident uses. */
    void setUsage(Resident &resident, double cores, double memoryMiB);

    /** Returns the number that stands for \a text; equal texts have equal numbers. */
    ViewId intern(const std::string &text);

    const std::vector<WorkerView> &workers() const { return workers_; }
    const WorkerView &worker(ViewId viewId) const { return workers_[viewId]; }
    ViewId workerId(const std::string &name) const;
    const CapacityTree &capacities() const { return tree_; }
    /** Workers that accept tasks, the least loaded first; load is the fullest dimension. */
    const std::set<std::pair<double, ViewId>> &byLoad() const { return byLoad_; }
    /** Tasks of a group in a failure domain. */
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
    // Residents are pointed to, and the addresses of a node-based map's elements are stable.
    std::unordered_map<std::string, Resident> residents_;
    CapacityTree tree_;
    std::vector<double> loads_;
    std::set<std::pair<double, ViewId>> byLoad_;
    /** By group and place; the place is a domain, a rack, or NoViewId for the whole group. */
    std::map<std::pair<ViewId, ViewId>, std::uint32_t> groupCounts_;
};

} // namespace Oleander::Placement
