#pragma once

#include "Routing/callerrequest.h"
#include "Routing/claimcommands.h"

namespace Oleander {

/** Hash of method, path and body, by which a reused Idempotency-Key is detected. */
std::uint64_t fingerprint(const CallerRequest &request);

/** Response to a resend of a request that has already finished. */
CallerResponse recordedResponse(const ClaimOutcome &claim);

/** Converts \a response to the form that is stored with the claim. */
RecordedResponse responseToRecord(const CallerResponse &response);

} // namespace Oleander
