#pragma once

#include "Base/error.h"
#include "Placement/taskexecutor.h"
#include "Protocol/messages.h"
#include "Runtime/httpserver.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Oleander {

/** Builds the HTTP request for \a call to the worker. */
HttpRequest workerRequest(const Placement::WorkerCall &call);

/** Builds the HTTP request that extends the lease of the worker. */
HttpRequest leaseRequest(TimePoint leaseEnd, std::uint64_t session);

/** Parses the response to GET /tasks. */
Result<std::vector<Placement::ListedAttempt>> parseListing(std::string_view body);

/** Parses the response to GET /usage. */
Result<std::vector<UsageReport>> parseUsage(std::string_view body);

/** Returns the reason in an error response of the worker, or a sentence with the HTTP status. */
std::string refusalReason(const HttpResponse &response);

} // namespace Oleander
