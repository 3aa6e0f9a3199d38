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
    /** Longest delay of the answer while the configuration is not yet in force everywhere. */
    Duration wait{};
};

/** DELETE /v1/records/<kind>/<name> for one record, POST /v1/withdrawals for several. */
struct WithdrawRequest
{
    Records::Withdraw command;
    /** True for POST /v1/withdrawals. */
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
    /** Last record of the previous page; the list starts after it. */
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

/** Maximum number of records in a bulk withdrawal. */
constexpr std::size_t MaxBulkRecords = 10'000;

/**
 * Parses a request to the operator server; \a time becomes the origin time of a command.
 *
 * Fails with Failure::NotFound if the path does not exist, and with Failure::Refused if it does not
 * support the method.
 */
Result<OperatorRequest> parseOperatorRequest(const HttpRequest &request, WallTime time);

} // namespace Oleander
