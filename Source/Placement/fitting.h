#pragma once

#include "Placement/task.h"

#include <map>
#include <string>

namespace Oleander::Placement {

/** Whether any worker could hold a size while it is otherwise empty. */
struct FitResult
{
    bool fitsSomewhere = false;
    /** Full sentence that names the worker nearest to holding it and what it lacks. */
    std::string explanation;
};

/** Compares \a size with the whole capacity of every known worker, lost ones included. */
FitResult checkFit(const Resources &size, const std::map<std::string, Worker> &workers);

/** Processors of a size in whole cores. */
double coresOf(const Resources &size);

/** Text of a size for people: "2000 millicores, 512 MiB, 1 accelerator". */
std::string describe(const Resources &size);

} // namespace Oleander::Placement
