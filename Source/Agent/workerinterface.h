#pragma once

#include "Base/error.h"
#include "Placement/taskexecutor.h"
#include "Protocol/messages.h"
#include "Runtime/httpserver.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Oleander {

/** The HTTP request that makes \a call at the worker. */
HttpRequest workerRequest(const Placement::WorkerCall &call);

/** The HTTP request that tells the worker a new end of its lease. */
HttpRequest leaseRequest(TimePoint leaseEnd, std::uint64_t session);

/** Reads the worker's answer to GET /tasks. */
Result<std::vector<Placement::ListedAttempt>> parseListing(std::string_view body);

/** Reads the worker's answer to GET /usage. */
Result<std::vector<UsageReport>> parseUsage(std::string_view body);

/** The reason that the worker gave in an answer, or a sentence with the status. */
std::string refusalReason(const HttpResponse &response);

} // namespace Oleander
