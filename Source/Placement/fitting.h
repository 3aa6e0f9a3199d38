#pragma once

#include "Placement/task.h"

#include <map>
#include <string>

namespace Oleander::Placement {

/** Whether some worker, while empty, has room for a size. */
struct FitResult
{
    bool fitsSomewhere = false;
    /** Full sentence that names the closest worker and the resources that it lacks. */
    std::string explanation;
};

/** Compares \a size with the total capacity of every known worker, including lost ones. */
FitResult checkFit(const Resources &size, const std::map<std::string, Worker> &workers);

/** Returns the processors of a size in cores. */
double coresOf(const Resources &size);

/** Returns a readable description of a size, such as "2000 millicores, 512 MiB, 1 accelerator". */
std::string describe(const Resources &size);

} // namespace Oleander::Placement
