#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Fleet/leaderclient.h"
#include "Protocol/jobcalls.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Fleet {

/** Counter of the leader and of the control host that received the request. */
constexpr const char *EvacuationChangesMetric = "oleander_evacuation_changes_total";
constexpr const char *EvacuationChangesHelp =
    "Operators' requests and withdrawals of evacuations by result.";

/**
 * \class EvacuationHandler
 * \brief Handles operators' requests about evacuations on a control host.
 *
 * Rejects unknown failure domains, and repeats a call with the current version while the caller
 * waits.
 */
class EvacuationHandler
{
public:
    using Encoder = std::function<HttpResponse(const JobAnswer &)>;

    /** Evacuations are not offered if \a failureDomains is empty. */
    EvacuationHandler(EventLoop &loop, LeaderClient &leader,
                      std::vector<std::string> failureDomains);

    /** Answers a request to /v1/evacuations; returns false without a response for another path. */
    bool answerOwnPath(const std::shared_ptr<HttpExchange> &exchange);
    /** Reports a request that another path refused because it is malformed. */
    static void reportMalformed(const Error &error);
    /** Requests or withdraws an evacuation and answers within \a timeout. */
    void change(const std::shared_ptr<HttpExchange> &exchange, EvacuationCall call,
                Duration timeout, Encoder encode);

private:
    struct PendingChange
    {
        std::shared_ptr<HttpExchange> exchange;
        EvacuationCall call;
        TimePoint deadline;
        Encoder encode;
    };

    void list(const std::shared_ptr<HttpExchange> &exchange);
    void attempt(const std::shared_ptr<PendingChange> &pending);
    /** Returns the answer to a call about \a failureDomain that is rejected without asking the
     * leader, or nothing. */
    std::optional<JobAnswer> rejection(const std::string &failureDomain) const;
    HttpResponse encodeOwnAnswer(const JobAnswer &answer) const;

    EventLoop &loop_;
    LeaderClient &leader_;
    std::vector<std::string> failureDomains_;
};

} // namespace Oleander::Fleet
