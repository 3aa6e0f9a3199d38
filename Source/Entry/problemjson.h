#pragma once

#include "Routing/callerrequest.h"
#include "Runtime/httpserver.h"

namespace Oleander {

/** Makes the application/problem+json answer (RFC 9457) that tells of \a problem. */
HttpResponse problemResponse(const RequestProblem &problem);

} // namespace Oleander
