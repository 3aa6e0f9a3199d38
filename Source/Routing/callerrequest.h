#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Oleander {

/** Number of a caller's request within one entry. */
using RequestId = std::uint64_t;

/** A caller's request as its entry checked it. */
struct CallerRequest
{
    std::string service;
    std::string method;
    /** Path and query for the minion. */
    std::string path;
    /** End-to-end header fields. */
    std::vector<HeaderField> headers;
    std::string body;
    Duration timeout{};
    /** True when running it twice does no harm. */
    bool idempotent = false;
    /** Idempotency-Key, or empty. */
    std::string idempotencyKey;
};

/** The whole answer of a minion. */
struct MinionResponse
{
    std::uint32_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
};

/** Why a caller gets no answer of a minion, and whether the request ran. */
struct RequestProblem
{
    unsigned status = 500;
    Outcome outcome = Outcome::Unknown;
    Step step = Step::None;
    std::string peer;
    std::string detail;
    /** When to try again; only with Outcome::NotRun. */
    std::optional<Duration> retryAfter;
};

using CallerResponse = std::variant<MinionResponse, RequestProblem>;

/** Returns the name of \a outcome as answers show it. */
std::string_view outcomeName(Outcome outcome);

/** Returns the name of \a state as lists and dumps show it. */
std::string_view minionStateName(MinionState state);

/** HTTP status codes that this package chooses itself. */
namespace HttpStatus {
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned UnprocessableContent = 422;
constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
} // namespace HttpStatus

} // namespace Oleander
