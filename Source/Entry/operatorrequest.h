#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Records/change.h"
#include "Runtime/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Oleander {

/** PUT /v1/records/<kind>/<name>. */
struct SubmitRequest
{
    Records::Submit command;
    /** Longest wait for a configuration to be in force everywhere before the answer. */
    Duration wait{};
};

/** DELETE /v1/records/<kind>/<name>, or POST /v1/withdrawals with many. */
struct WithdrawRequest
{
    Records::Withdraw command;
    bool isBulk = false;
    Duration wait{};
};

/** GET /v1/records/<kind>/<name>. */
struct ShowRequest
{
    Records::RecordKey key;
};

/** GET /v1/records. */
struct ListRequest
{
    std::optional<Records::RecordKind> kind;
    bool includeWithdrawn = false;
    /** Records after this one; the last of the page before. */
    std::optional<Records::RecordKey> after;
    std::size_t limit = 0;
};

/** GET /v1/events. */
struct EventsRequest
{
    std::uint64_t after = 0;
    std::size_t limit = 0;
};

/** GET /v1/status. */
struct StatusRequest
{};

using OperatorRequest = std::variant<SubmitRequest, WithdrawRequest, ShowRequest, ListRequest,
                                     EventsRequest, StatusRequest>;

/** Largest number of records that one wave withdraws. */
constexpr std::size_t MaxBulkRecords = 10'000;

/**
 * Reads a request to the operators' door; \a time becomes that of a command's origin.
 *
 * Failure::NotFound means that there is no such path, Failure::Refused that the path does not
 * take the method.
 */
Result<OperatorRequest> parseOperatorRequest(const HttpRequest &request, WallTime time);

} // namespace Oleander
