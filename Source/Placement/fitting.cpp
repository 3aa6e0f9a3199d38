#include "Placement/fitting.h"

#include "Placement/workerledger.h"

#include <fmt/format.h>

#include <vector>

namespace Oleander::Placement {

namespace {

/** Returns the share of \a size that \a room lacks, summed over all resources. */
double shortfall(const Resources &size, const Resources &room)
{
    const auto lack = [](double wanted, double there) {
        return wanted > there ? (wanted - there) / wanted : 0.0;
    };
    return lack(size.milliCores, room.milliCores)
           + lack(static_cast<double>(size.memoryMiB), static_cast<double>(room.memoryMiB))
           + lack(size.accelerators, room.accelerators);
}

} // namespace

double coresOf(const Resources &size)
{
    constexpr double MilliCoresPerCore = 1000.0;
    return size.milliCores / MilliCoresPerCore;
}

std::string describe(const Resources &size)
{
    std::vector<std::string> parts;
    if (size.milliCores > 0)
        parts.push_back(fmt::format("{} millicores", size.milliCores));
    if (size.memoryMiB > 0)
        parts.push_back(fmt::format("{} MiB", size.memoryMiB));
    if (size.accelerators > 0)
        parts.push_back(
            fmt::format("{} accelerator{}", size.accelerators, size.accelerators == 1 ? "" : "s"));
    return parts.empty() ? "nothing" : fmt::format("{}", fmt::join(parts, ", "));
}

FitResult checkFit(const Resources &size, const std::map<std::string, Worker> &workers)
{
    const Worker *nearest = nullptr;
    double smallestShortfall = 0;
    for (const auto &[name, worker] : workers) {
        const double missing = shortfall(size, worker.capacity);
        if (!nearest || missing < smallestShortfall) {
            nearest = &worker;
            smallestShortfall = missing;
        }
        if (fitsInto(size, worker.capacity))
            return {true, {}};
    }
    if (!nearest)
        return {false, "No worker has registered yet."};
    return {false, fmt::format("No worker could hold {} even when empty; the nearest is {} with "
                               "{}, which lacks {}.",
                               describe(size), nearest->name, describe(nearest->capacity),
                               describe(remainder(size, nearest->capacity)))};
}

} // namespace Oleander::Placement
