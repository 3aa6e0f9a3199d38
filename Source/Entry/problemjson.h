#pragma once

#include "Routing/callerrequest.h"
#include "Runtime/httpserver.h"

namespace Oleander {

/** Builds the application/problem+json response (RFC 9457) for \a problem. */
HttpResponse problemResponse(const RequestProblem &problem);

} // namespace Oleander
