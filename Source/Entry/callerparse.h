#pragma once

#include "Routing/callerrequest.h"
#include "Runtime/httpserver.h"

#include <tl/expected.hpp>

namespace Oleander {

/** Deadlines that callers may ask for. */
struct CallerTimeouts
{
    Duration defaultTimeout{};
    Duration maxTimeout{};
};

/** Checks a caller's request whole; the problem names the field that is wrong. */
tl::expected<CallerRequest, RequestProblem> parseCallerRequest(const HttpRequest &request,
                                                               const CallerTimeouts &timeouts);

} // namespace Oleander
