#include "Routing/requestclaim.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace Oleander {

std::uint64_t fingerprint(const CallerRequest &request)
{
    const std::string text = request.method + ' ' + request.path + '\n' + request.body;
    return XXH64(text.data(), text.size(), 0);
}

CallerResponse recordedResponse(const ClaimOutcome &claim)
{
    const RecordedResponse &recorded = claim.response;
    if (recorded.outcome == Outcome::Ran && recorded.complete)
        return MinionResponse{recorded.status, recorded.headers, recorded.body};
    std::string detail = recorded.detail;
    if (recorded.outcome == Outcome::Ran) {
        detail =
            fmt::format("The request ran and was answered with status {}; the response was too "
                        "large to be stored.",
                        recorded.status);
    }
    return RequestProblem{HttpStatus::Conflict, recorded.outcome,  Step::Claim,
                          claim.holder,         std::move(detail), std::nullopt};
}

RecordedResponse responseToRecord(const CallerResponse &response)
{
    RecordedResponse recorded;
    if (const auto *minionResponse = std::get_if<MinionResponse>(&response)) {
        recorded.outcome = Outcome::Ran;
        recorded.status = minionResponse->status;
        recorded.headers = minionResponse->headers;
        recorded.body = minionResponse->body;
        return recorded;
    }
    const auto &problem = std::get<RequestProblem>(response);
    recorded.outcome = problem.outcome;
    recorded.peer = problem.peer;
    recorded.detail = problem.detail;
    return recorded;
}

} // namespace Oleander
