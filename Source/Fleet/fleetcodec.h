#pragma once

#include "Base/error.h"
#include "Protocol/jobcalls.h"
#include "Protocol/jobmessages.h"
#include "Runtime/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Oleander::Fleet {

/** A decoded call of a client or an operator. */
struct DecodedCall
{
    JobCallBody body;
    /** Time for which the caller waits for the answer. */
    Duration timeout{};
};

/** Properties that a minion announces to its agent. */
struct MinionAnnouncement
{
    MinionReport minion;
    /** Sequence number of the announcement within one MinionLife. */
    std::uint64_t sequence = 0;
    /** Reading of the minion's own clock, in milliseconds. */
    std::uint64_t clockMs = 0;
};

/** Announces that a minion shuts down. */
struct MinionDeparture
{
    std::string name;
};

using MinionCall = std::variant<MinionAnnouncement, MinionDeparture>;

/** Outcome of an order according to the answer of the minion. */
enum class OrderResult {
    Done,
    /** The minion will never execute the order. */
    Refused,
    /** The minion did nothing; the order may succeed later. */
    Busy,
    /** The answer is not understood or comes from another instance of the minion. */
    Unclear,
};

/** Answer of a minion to a poll: its active and ended runs. */
struct RunLists
{
    /** Identifies the instance of the minion; see MinionLife. */
    std::uint64_t bornMs = 0;
    /** Reading of the minion's own clock, in milliseconds. */
    std::uint64_t clockMs = 0;
    std::vector<RunStatus> running;
    std::vector<RunEnd> finished;
    /** True if the minion may hold more ends, which it lists once these are acknowledged. */
    bool hasMoreEnds = false;
};

/** Parameters of a poll of the runs of a minion. */
struct PollOrder
{
    /** Ended runs up to this RunEnd::number are committed and need not be listed again. */
    std::uint64_t acknowledgedEnd = 0;
    /** New expiry of the lease on the minion's clock, in milliseconds; 0 leaves it unchanged. */
    std::uint64_t holdUntilMs = 0;
    /** Maximum time for which the minion delays its answer until a run ends. */
    Duration wait{};
};

/**
 * \class FleetCodec
 * \brief Encodes and decodes the HTTP requests and responses of the platform on which the processes
 * run.
 *
 * An implementation only translates; all decisions are made by the processes.
 */
class FleetCodec
{
public:
    virtual ~FleetCodec() = default;

    /** Decodes the call of a client; the error describes why the request is invalid. */
    virtual Result<DecodedCall> decodeClientCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeClientAnswer(const JobAnswer &answer) const = 0;
    virtual Result<DecodedCall> decodeOperatorCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeOperatorAnswer(const JobAnswer &answer) const = 0;
    /** True if \a request is the platform's readiness probe of an entry. */
    virtual bool isHealthCheck(const HttpRequest &request) const = 0;

    /** True if a call of a client, an operator or a minion with this method and path may have a
     * body; a larger one than MaxUnexpectedBody is not read otherwise. */
    virtual bool acceptsClientBody(std::string_view method, std::string_view path) const = 0;
    virtual bool acceptsOperatorBody(std::string_view method, std::string_view path) const = 0;
    virtual bool acceptsMinionBody(std::string_view method, std::string_view path) const = 0;

    virtual Result<MinionCall> decodeMinionCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeMinionAnswer() const = 0;
    /**
     * Requests to the minion named \a minion. \a fence is the fencing token, see
     * MinionTask::fence(); a start is valid until \a deadlineMs on the clock of the minion.
     */
    virtual HttpRequest startRequest(const std::string &minion, const StartOrder &order,
                                     std::uint64_t fence, std::uint64_t deadlineMs) const = 0;
    virtual HttpRequest stopRequest(const std::string &minion, const StopOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual HttpRequest paceRequest(const std::string &minion, const StopOrder &run,
                                    std::uint32_t percent, std::uint64_t fence) const = 0;
    virtual HttpRequest pollRequest(const std::string &minion, const PollOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual OrderResult decodeOrderResult(const HttpResponse &response) const = 0;
    /** True if the minion did nothing because it has seen a higher fencing token. */
    virtual bool isFenceRefusal(const HttpResponse &response) const = 0;
    virtual Result<RunLists> decodeRunLists(const HttpResponse &response) const = 0;
};

} // namespace Oleander::Fleet
