#pragma once

#include "Fleet/fleetcodec.h"
#include "Jobs/pacecontroller.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Fleet {

/**
 * \class MinionTask
 * \brief Follows the minion beside an agent: its lives, its runs, and the orders for it.
 *
 * It is the only caller of the minion. It decides nothing about jobs, but for the pace of filling
 * runs: it delivers what the leader ordered, renews the lease as far as the leader granted it, and
 * reports what the minion lists.
 */
class MinionTask
{
public:
    MinionTask(EventLoop &loop, const FleetCodec &codec, const std::string &address);

    void handleAnnouncement(const MinionAnnouncement &announcement);
    void handleDeparture(const MinionDeparture &departure);
    void handleDirective(const MachineDirective &directive);
    /** What the leader should know now; \a sequence numbers the report. */
    MachineReport makeReport(std::uint64_t sequence);

    /** Emitted when the leader should hear of something soon. */
    sigc::signal<void()> reportNeeded;

private:
    struct UndeliveredStart
    {
        StartOrder order;
        /** End, on the minion's clock, of the lease under which the leader gave the order; later it
         * may have started the task elsewhere. */
        std::uint64_t validUntilMs = 0;
        bool isInFlight = false;
        TimePoint retryAt{};
    };
    /** A run that the minion refused, or that was stopped before it began; it never ran if the
     * lists that were asked for afterwards do not hold it. */
    struct Refusal
    {
        std::uint64_t afterPoll = 0;
        bool isConfirmed = false;
    };

    void startInstance(const MinionAnnouncement &announcement);
    void endInstance(const char *why);
    void tick();
    void pollRuns();
    void onPollAnswer(std::uint64_t number, const HttpCallResult &result);
    void applyRunLists(std::uint64_t number, RunLists lists);
    void onPollFailure(const HttpCallError &error);
    void updatePace();
    void sendStart(const Jobs::RunKey &key);
    void onStartAnswer(const Jobs::RunKey &key, std::uint64_t instance,
                       const HttpCallResult &result);
    /** The minion does not carry out the start of \a key; it is refused once that is sure. */
    void abandonStart(const Jobs::RunKey &key);
    void sendStop(const StopOrder &order);
    void onStopAnswer(const Jobs::RunKey &key, const HttpCallResult &result);
    bool isCurrentInstance(std::uint64_t instance) const
    {
        return hasMinion_ && instance == instanceNumber_;
    }

    EventLoop &loop_;
    const FleetCodec &codec_;
    std::unique_ptr<HttpClient> pollClient_;
    std::unique_ptr<HttpClient> orderClient_;

    bool hasMinion_ = false;
    /** Counts the lives, so that answers to an earlier one are told apart. */
    std::uint64_t instanceNumber_ = 0;
    MinionReport minion_;
    std::uint64_t announcementSequence_ = 0;
    std::uint64_t minionClockMs_ = 0;
    std::optional<TimePoint> departedAt_;
    /** Lives that ended, until the leader has committed that. */
    std::vector<MinionLife> endedInstances_;
    MinionLife latestEndedInstance_;

    std::uint64_t term_ = 0;
    std::uint64_t holdUntilMs_ = 0;
    std::uint64_t acknowledgedEnd_ = 0;

    bool hasRunList_ = false;
    bool isPolling_ = false;
    std::uint64_t pollNumber_ = 0;
    TimePoint pollStartedAt_{};
    TimePoint nextPollAt_{};
    unsigned refusedPolls_ = 0;
    std::vector<RunStatus> running_;
    std::vector<RunEnd> finished_;
    std::uint64_t highestEndNumber_ = 0;
    /** What the orders told of the runs that may be at work. */
    std::map<Jobs::RunKey, StartOrder> startOrders_;
    std::map<Jobs::RunKey, UndeliveredStart> undeliveredStarts_;
    /** Starts of which a call got no answer, so that the minion may yet carry it out, and the time
     * on its clock from which on it will not. */
    std::map<Jobs::RunKey, std::uint64_t> unansweredStarts_;
    std::set<Jobs::RunKey> pendingStops_;
    std::map<Jobs::RunKey, Refusal> refusals_;
    /** Number of the latest report that told of the refusals and ended lives. */
    std::uint64_t latestEventReport_ = 0;
    Jobs::PaceController paceController_;
    Timer tickTimer_;
};

} // namespace Oleander::Fleet
