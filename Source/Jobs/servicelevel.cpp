#include "Jobs/servicelevel.h"

#include "Jobs/minionuse.h"

#include <algorithm>
#include <map>

namespace Oleander::Jobs {

namespace {

std::map<std::string, ServiceCapacity>
capacityByService(const JobBook &book, const MachineTable &machines, TimePoint now)
{
    std::map<std::string, ServiceCapacity> capacities;
    const auto uses = computeMinionUse(book);
    for (const auto &[life, machine] : machines.machines()) {
        ServiceCapacity &capacity = capacities[machine.minion.service];
        if (!machines.acceptsTasks(now, machine)) {
            ++capacity.minionsUnavailable;
            capacity.minionsSuspended += machine.health.isSuspended(now) ? 1 : 0;
            capacity.minionsDisturbed += machines.isDisturbed(now, machine) ? 1 : 0;
            continue;
        }
        const auto use = uses.find(life);
        const std::uint64_t claimed = use == uses.end() ? 0 : use->second.claim.milliCores;
        const std::uint64_t total = machine.minion.milliCores;
        const std::uint64_t free = total - std::min(total, claimed);
        capacity.freeMilliCores += free;
        capacity.largestFreeMilliCores = std::max(capacity.largestFreeMilliCores, free);
    }
    return capacities;
}

bool isFillingActive(const JobBook &book, const Machine &machine)
{
    return std::ranges::any_of(machine.running, [&](const auto &item) {
        const auto &[key, view] = item;
        const StepSpec *step = book.findStep(key.first);
        return step != nullptr && step->filling && view.measurement > 0;
    });
}

void countTask(const JobBook &book, const MachineTable &machines, const StepSpec &step,
               const Task &task, const RunKey &key, ServiceLevel &level)
{
    ++level.tasks;
    if (task.active.empty()) {
        ++level.waiting;
        level.waitingMilliCores = std::max(level.waitingMilliCores, step.milliCores);
        return;
    }
    const MinionLife &life = task.active.back().minion;
    const RunView *view = machines.findRun(life, key);
    if (view == nullptr || !view->isAtWork()) {
        ++level.starting;
        return;
    }
    ++level.atWork;
    if (step.targetLatencyMs == 0 || view->measurement <= step.targetLatencyMs)
        return;
    ++level.overTarget;
    if (isFillingActive(book, machines.machines().at(life)))
        ++level.overTargetWithFilling;
}

} // namespace

std::vector<ServiceLevel> serviceLevels(const JobBook &book, const MachineTable &machines,
                                        TimePoint now)
{
    std::vector<ServiceLevel> levels;
    const auto capacities = capacityByService(book, machines, now);
    for (const std::string &id : book.openJobs()) {
        const Job &job = *book.find(id);
        if (!job.isLongRunning())
            continue;
        ServiceLevel level;
        level.job = id;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!job.steps[step].longRunning)
                continue;
            for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
                const Task &task = job.tasks[step][index];
                countTask(book, machines, job.steps[step], task, {{id, step, index}, task.lastRun},
                          level);
            }
        }
        const QueueSpec *queue = book.queue(job.queue);
        const auto capacity = queue == nullptr ? capacities.end() : capacities.find(queue->service);
        if (capacity != capacities.end())
            level.capacity = capacity->second;
        levels.push_back(std::move(level));
    }
    return levels;
}

} // namespace Oleander::Jobs
