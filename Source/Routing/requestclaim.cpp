#include "Routing/requestclaim.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace Oleander {

std::uint64_t fingerprint(const CallerRequest &request)
{
    const std::string text = request.method + ' ' + request.path + '\n' + request.body;
    return XXH64(text.data(), text.size(), 0);
}

CallerAnswer keptAnswer(const ClaimOutcome &claim)
{
    const ClaimAnswer &kept = claim.answer;
    if (kept.outcome == Outcome::Ran && kept.complete)
        return MinionAnswer{kept.status, kept.headers, kept.body};
    std::string detail = kept.detail;
    if (kept.outcome == Outcome::Ran) {
        detail = fmt::format("The request ran and was answered with status {}; the answer was too "
                             "large to be kept.",
                             kept.status);
    }
    return RequestProblem{HttpStatus::Conflict, kept.outcome,      Step::Claim,
                          claim.holder,         std::move(detail), std::nullopt};
}

ClaimAnswer answerToKeep(const CallerAnswer &answer)
{
    ClaimAnswer kept;
    if (const auto *whole = std::get_if<MinionAnswer>(&answer)) {
        kept.outcome = Outcome::Ran;
        kept.status = whole->status;
        kept.headers = whole->headers;
        kept.body = whole->body;
        return kept;
    }
    const auto &problem = std::get<RequestProblem>(answer);
    kept.outcome = problem.outcome;
    kept.peer = problem.peer;
    kept.detail = problem.detail;
    return kept;
}

} // namespace Oleander
