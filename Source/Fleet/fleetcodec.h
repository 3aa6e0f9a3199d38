#pragma once

#include "Base/error.h"
#include "Protocol/jobcalls.h"
#include "Protocol/jobmessages.h"
#include "Runtime/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Oleander::Fleet {

/** A call of a client or an operator, decoded. */
struct DecodedCall
{
    JobCallBody body;
    /** How long the caller waits for the answer. */
    Duration timeout{};
};

/** A minion tells of itself. */
struct MinionAnnouncement
{
    MinionReport minion;
    /** Counts the announcements of one life. */
    std::uint64_t sequence = 0;
    std::uint64_t clockMs = 0;
};

/** A minion ends. */
struct MinionDeparture
{
    std::string name;
};

using MinionCall = std::variant<MinionAnnouncement, MinionDeparture>;

/** What a minion answered to an order. */
enum class OrderResult {
    Done,
    /** It will never carry this order out. */
    Refused,
    /** It did nothing and may do it later. */
    Busy,
    /** The answer cannot be understood, or another life of the minion gave it. */
    Unclear,
};

/** Answer of a minion to a look at its runs. */
struct RunLists
{
    std::uint64_t bornMs = 0;
    std::uint64_t clockMs = 0;
    std::vector<RunStatus> running;
    std::vector<RunEnd> finished;
};

/** What a look at the runs of a minion carries to it. */
struct PollOrder
{
    std::uint64_t acknowledgedEnd = 0;
    /** 0 leaves the lease as it is. */
    std::uint64_t holdUntilMs = 0;
    /** Longest wait for an end. */
    Duration wait{};
};

/**
 * \class FleetCodec
 * \brief Names, formats and calls of the platform on which the processes run.
 *
 * The processes hold everything that decides; an implementation only translates.
 */
class FleetCodec
{
public:
    virtual ~FleetCodec() = default;

    /** Decodes a client's call; the error says what is wrong with it. */
    virtual Result<DecodedCall> decodeClientCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeClientAnswer(const JobAnswer &answer) const = 0;
    virtual Result<DecodedCall> decodeOperatorCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeOperatorAnswer(const JobAnswer &answer) const = 0;
    /** True for the platform's question whether an entry takes new connections. */
    virtual bool isHealthCheck(const HttpRequest &request) const = 0;

    virtual Result<MinionCall> decodeMinionCall(const HttpRequest &request) const = 0;
    virtual HttpResponse encodeMinionAnswer() const = 0;
    virtual HttpRequest startRequest(const std::string &minion, const StartOrder &order,
                                     std::uint64_t fence, std::uint64_t deadlineMs) const = 0;
    virtual HttpRequest stopRequest(const std::string &minion, const StopOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual HttpRequest paceRequest(const std::string &minion, const StopOrder &run,
                                    std::uint32_t percent, std::uint64_t fence) const = 0;
    virtual HttpRequest pollRequest(const std::string &minion, const PollOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual OrderResult decodeOrderResult(const HttpResponse &response) const = 0;
    virtual Result<RunLists> decodeRunLists(const HttpResponse &response) const = 0;
};

} // namespace Oleander::Fleet
