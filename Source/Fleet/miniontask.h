#pragma once

#include "Fleet/crashattribution.h"
#include "Fleet/fleetcodec.h"
#include "Fleet/instanceverifier.h"
#include "Jobs/pacecontroller.h"
#include "Runtime/connectprobe.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace Oleander::Fleet {

/**
 * \class MinionTask
 * \brief Tracks the minion of an agent: its instances, its runs, and the orders for it.
 *
 * It is the only caller of the minion. It delivers the orders of the leader, renews the lease up to
 * the expiry that the leader granted, and reports the runs that the minion lists. Its only own
 * decision about jobs is the pace of filling runs.
 */
class MinionTask
{
public:
    /** \a confirmationTime is the time after the acknowledgement of a job's cancelling, or of an
     * evacuation, within which tasks may still start. */
    MinionTask(EventLoop &loop, const FleetCodec &codec, const std::string &address,
               Duration confirmationTime = std::chrono::seconds(3));

    void handleAnnouncement(const MinionAnnouncement &announcement);
    void handleDeparture(const MinionDeparture &departure);
    void handleDirective(const MachineDirective &directive);
    /** Returns the report for the leader with the sequence number \a sequence. */
    MachineReport makeReport(std::uint64_t sequence);

    /** Emitted when a report should be sent immediately. */
    sigc::signal<void()> reportNeeded;

private:
    struct UndeliveredStart
    {
        StartOrder order;
        /** Expiry, on the minion's clock, of the lease under which the leader gave the order; after
         * it the leader may have started the task elsewhere. */
        std::uint64_t validUntilMs = 0;
        /** Time until which the start may be sent unless the leader renews it. */
        TimePoint sendUntil{};
        bool isInFlight = false;
        HttpClient::CallId call = 0;
        /** True if the run must not start any more, although the minion may still execute a call.
         */
        bool isWithdrawn = false;
        /** True while the start is not sent because sendUntil has passed. */
        bool isHeld = false;
        TimePoint retryAt{};
        TimePoint orderedAt{};
        TimePoint sentAt{};
        unsigned attempts = 0;
    };
    /** A run that the minion refused, or that was stopped before it started. It certainly never
     * started if a poll begun afterwards lists all ends and not the run; the refusal is then
     * confirmed. */
    struct Refusal
    {
        std::uint64_t afterPoll = 0;
        bool isConfirmed = false;
    };

    void updateInstance(const MinionAnnouncement &announcement);
    /** Replaces the current instance by the one of \a announcement, which runs at the address. */
    void replaceInstance(const MinionAnnouncement &announcement);
    void startInstance(const MinionAnnouncement &announcement);
    /** Returns a client whose connections reach only the current instance. */
    std::unique_ptr<HttpClient> makeClient(ConnectionLimits limits);
    /** True if \a response comes from the current instance; ends it if another one answered. */
    bool isFromInstance(const HttpResponse &response);
    void endInstance(const char *why);
    /** Keeps the listed ends of the current instance, which ends, for the leader; returns the
     * number of ends that exceed the limit and are dropped. */
    std::size_t keepLastEnds();
    /** Fencing token of the calls to the current instance. It rises with the term and, within a
     * term, with each instance, so that an instance does nothing for a call to an earlier one that
     * has the same id. */
    std::uint64_t fence() const;
    /** Raises the fence within the term after the minion has refused \a refused. */
    void raiseFence(std::uint64_t refused);
    /** Makes a poll of the instance with the given name that changes nothing. */
    HttpRequest makeProbe(const std::string &name);
    void tick();
    void pollRuns();
    void onPollAnswer(std::uint64_t number, const HttpCallResult &result);
    void applyRunLists(std::uint64_t number, RunLists lists);
    void onPollFailure(const HttpCallError &error);
    void forgetPollFailures();
    /** Ends the instance if its address refuses connections; \a error is the outcome of an attempt
     * to connect after a failed poll. */
    void onConnectProbed(std::error_code error);
    /** Stops the runs that the minion lists at \a clockMs although every lease that the leader has
     * granted has expired. A call to an earlier instance may have extended the lease. */
    void enforceLease(std::uint64_t clockMs);
    void updatePace();
    /** Returns the time until which starts may be sent that \a directive orders or renews. */
    TimePoint startExpiry(const MachineDirective &directive) const;
    void handleStartOrder(const StartOrder &order, TimePoint sendUntil, std::uint64_t holdUntilMs);
    void sendStart(const Jobs::RunKey &key);
    /** Returns true, and holds \a start, if the leader has ordered or renewed it too long ago. */
    bool holdIfOutdated(const Jobs::RunKey &key, UndeliveredStart &start);
    void onStartAnswer(const Jobs::RunKey &key, std::uint64_t instance,
                       const HttpCallResult &result);
    /** Forgets the start of \a key, which the minion has confirmed \a by its answer or its list. */
    void confirmStart(const Jobs::RunKey &key, const char *by);
    /** Ends the delivery of the start of \a key; the start is reported as refused once the run can
     * certainly not start any more. */
    void withdrawStart(const Jobs::RunKey &key, const char *why);
    /** Withdraws all starts that the minion has not confirmed. */
    void withdrawStarts(const char *why);
    /** Stops the run of a withdrawn start, which the minion may still execute. */
    void stopWithdrawn(const Jobs::RunKey &key);
    void sendStop(const Jobs::RunKey &key);
    void onStopAnswer(const Jobs::RunKey &key, TimePoint calledAt, const HttpCallResult &result);
    bool isCurrentInstance(std::uint64_t instance) const
    {
        return hasMinion_ && instance == instanceNumber_;
    }

    EventLoop &loop_;
    const FleetCodec &codec_;
    std::string address_;
    /** Time after a report for which the starts that the leader ordered on it may be sent. */
    Duration startValidity_;
    InstanceVerifier verifier_;
    /** Clients of the current instance. A call names only the id, which a later instance may have
     * too; an open connection stays with the process that accepted it. */
    std::unique_ptr<HttpClient> pollClient_;
    std::unique_ptr<HttpClient> orderClient_;

    bool hasMinion_ = false;
    /** Incremented for every instance of the minion; answers to calls of an earlier instance are
     * ignored. */
    std::uint64_t instanceNumber_ = 0;
    MinionReport minion_;
    std::uint64_t announcementSequence_ = 0;
    std::uint64_t minionClockMs_ = 0;
    /** Ended instances of the minion whose end the leader has not yet acknowledged. */
    std::vector<MinionLife> endedInstances_;
    /** Those of the ended instances that ended without notice. */
    std::vector<MinionCrash> crashes_;
    /** The last list of ends of each of the ended instances. */
    std::vector<ListedEnds> lastEnds_;

    std::uint64_t term_ = 0;
    /** Part of the fence that rises with each instance; starts anew in each term. */
    std::uint64_t instanceFence_ = 0;
    /** Fence of the latest poll that verified an instance or a connection. */
    std::uint64_t probeFence_ = 0;
    std::uint64_t holdUntilMs_ = 0;
    std::uint64_t acknowledgedEnd_ = 0;

    bool hasRunList_ = false;
    bool isPolling_ = false;
    std::uint64_t pollNumber_ = 0;
    TimePoint pollStartedAt_{};
    TimePoint nextPollAt_{};
    /** Runs after a poll that could not be sent. */
    ConnectProbe connectProbe_;
    /** Consecutive failed polls after which the address refused a connection. */
    unsigned refusedConnections_ = 0;
    /** True if LogEvent::MinionPresumedAlive was logged since the last answer to a poll. */
    bool isPresumedAliveLogged_ = false;
    std::vector<RunStatus> running_;
    std::vector<RunEnd> finished_;
    /** True if the minion may hold more ends than finished_. */
    bool hasMoreEnds_ = false;
    std::uint64_t highestEndNumber_ = 0;
    /** Start orders of the runs that may be active. */
    std::map<Jobs::RunKey, StartOrder> startOrders_;
    std::map<Jobs::RunKey, UndeliveredStart> undeliveredStarts_;
    CrashAttribution crashAttribution_;
    /** Starts with an unanswered call, of this or possibly an earlier process of the agent, which
     * the minion may still execute, and the time on the minion's clock after which it will not. */
    std::map<Jobs::RunKey, std::uint64_t> unansweredStarts_;
    std::set<Jobs::RunKey> pendingStops_;
    /** Time of the latest directive for the current instance. */
    TimePoint directedAt_{};
    /** Runs with an unanswered stop that no later directive can have repeated or omitted, and the
     * time of the next call. */
    std::map<Jobs::RunKey, TimePoint> stopRetries_;
    std::map<Jobs::RunKey, Refusal> refusals_;
    /** Sequence number of the latest report that contained refusals or ended instances. */
    std::uint64_t latestEventReport_ = 0;
    Jobs::PaceController paceController_;
    Timer tickTimer_;
};

} // namespace Oleander::Fleet
