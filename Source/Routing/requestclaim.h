#pragma once

#include "Routing/callerrequest.h"
#include "Routing/claimcommands.h"

namespace Oleander {

/** Digest of what a key stands for: method, path and body. */
std::uint64_t fingerprint(const CallerRequest &request);

/** The answer to a resend of a request that ended before. */
CallerResponse recordedResponse(const ClaimOutcome &claim);

/** What is kept under a claim whose request ended with \a answer. */
RecordedResponse responseToRecord(const CallerResponse &response);

} // namespace Oleander
