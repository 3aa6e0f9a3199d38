#pragma once

#include "Routing/callerrequest.h"
#include "Runtime/httpserver.h"

#include <tl/expected.hpp>

namespace Oleander {

/** Timeouts of caller requests. */
struct CallerTimeouts
{
    /** Used when a request has no timeout header. */
    Duration defaultTimeout{};
    /** Longest timeout that a request may ask for. */
    Duration maxTimeout{};
};

/** Validates and parses a caller's request; on failure the problem names the invalid field. */
tl::expected<CallerRequest, RequestProblem> parseCallerRequest(const HttpRequest &request,
                                                               const CallerTimeouts &timeouts);

} // namespace Oleander
