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
    Duration patience{};
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
struct MinionLists
{
    std::uint64_t bornMs = 0;
    std::uint64_t clockMs = 0;
    std::vector<RunStatus> running;
    std::vector<RunEnd> finished;
};

/** What a look at the runs of a minion carries to it. */
struct LookOrder
{
    std::uint64_t acknowledgedEnd = 0;
    /** 0 leaves the lease as it is. */
    std::uint64_t holdUntilMs = 0;
    /** Longest wait for an end. */
    Duration wait{};
};

/**
 * \class FleetWire
 * \brief Names, formats and calls of the platform on which the processes run.
 *
 * The processes hold everything that decides; an implementation only translates.
 */
class FleetWire
{
public:
    virtual ~FleetWire() = default;

    /** Decodes a client's call; the error says what is wrong with it. */
    virtual Result<DecodedCall> clientCall(const HttpRequest &request) const = 0;
    virtual HttpResponse clientAnswer(const JobAnswer &answer) const = 0;
    virtual Result<DecodedCall> operatorCall(const HttpRequest &request) const = 0;
    virtual HttpResponse operatorAnswer(const JobAnswer &answer) const = 0;
    /** True for the platform's question whether an entry takes new connections. */
    virtual bool isHealthCall(const HttpRequest &request) const = 0;

    virtual Result<MinionCall> minionCall(const HttpRequest &request) const = 0;
    virtual HttpResponse minionAnswer() const = 0;
    virtual HttpRequest startRequest(const std::string &minion, const StartOrder &order,
                                     std::uint64_t fence, std::uint64_t deadlineMs) const = 0;
    virtual HttpRequest stopRequest(const std::string &minion, const StopOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual HttpRequest paceRequest(const std::string &minion, const StopOrder &run,
                                    std::uint32_t percent, std::uint64_t fence) const = 0;
    virtual HttpRequest lookRequest(const std::string &minion, const LookOrder &order,
                                    std::uint64_t fence) const = 0;
    virtual OrderResult orderResult(const HttpResponse &response) const = 0;
    virtual Result<MinionLists> lists(const HttpResponse &response) const = 0;
};

} // namespace Oleander::Fleet
