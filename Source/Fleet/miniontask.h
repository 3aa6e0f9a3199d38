#pragma once

#include "Fleet/fleetwire.h"
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
    MinionTask(EventLoop &loop, const FleetWire &wire, const std::string &address);

    void announce(const MinionAnnouncement &announcement);
    void depart(const MinionDeparture &departure);
    void direct(const MachineDirective &directive);
    /** What the leader should know now; \a sequence numbers the report. */
    MachineReport report(std::uint64_t sequence);

    /** Emitted when the leader should hear of something soon. */
    sigc::signal<void()> changed;

private:
    struct Start
    {
        StartOrder order;
        /** End, on the minion's clock, of the lease under which the leader gave the order; later it
         * may have started the task elsewhere. */
        std::uint64_t validUntilMs = 0;
        bool calling = false;
        TimePoint retryAt{};
    };
    /** A run that the minion refused, or that was stopped before it began; it never ran if the
     * lists that were asked for afterwards do not hold it. */
    struct Refusal
    {
        std::uint64_t afterLook = 0;
        bool confirmed = false;
    };

    void startLife(const MinionAnnouncement &announcement);
    void endLife(const char *why);
    void tick();
    void look();
    void onLook(std::uint64_t number, const HttpCallResult &result);
    void onLists(std::uint64_t number, MinionLists lists);
    void lookFailed(const HttpCallError &error);
    void pace();
    void deliver(const Jobs::RunKey &key);
    void onStartAnswer(const Jobs::RunKey &key, std::uint64_t life, const HttpCallResult &result);
    /** The minion does not carry out the start of \a key; it is refused once that is sure. */
    void giveUpStart(const Jobs::RunKey &key);
    void stop(const StopOrder &order);
    void onStopAnswer(const Jobs::RunKey &key, const HttpCallResult &result);
    bool alive(std::uint64_t life) const { return present_ && life == lifeNumber_; }

    EventLoop &loop_;
    const FleetWire &wire_;
    std::unique_ptr<HttpClient> looks_;
    std::unique_ptr<HttpClient> orders_;

    bool present_ = false;
    /** Counts the lives, so that answers to an earlier one are told apart. */
    std::uint64_t lifeNumber_ = 0;
    MinionReport minion_;
    std::uint64_t announcementSequence_ = 0;
    std::uint64_t clockMs_ = 0;
    std::optional<TimePoint> departedAt_;
    /** Lives that ended, until the leader has committed that. */
    std::vector<MinionLife> ended_;
    MinionLife latestEnded_;

    std::uint64_t term_ = 0;
    std::uint64_t holdUntilMs_ = 0;
    std::uint64_t acknowledgedEnd_ = 0;

    bool listed_ = false;
    bool looking_ = false;
    std::uint64_t lookNumber_ = 0;
    TimePoint lookStarted_{};
    TimePoint nextLook_{};
    unsigned refusedLooks_ = 0;
    std::vector<RunStatus> running_;
    std::vector<RunEnd> finished_;
    std::uint64_t highestEnd_ = 0;
    /** What the orders told of the runs that may be at work. */
    std::map<Jobs::RunKey, StartOrder> described_;
    std::map<Jobs::RunKey, Start> starts_;
    /** Starts of which a call got no answer, so that the minion may yet carry it out, and the time
     * on its clock from which on it will not. */
    std::map<Jobs::RunKey, std::uint64_t> unanswered_;
    std::set<Jobs::RunKey> stopping_;
    std::map<Jobs::RunKey, Refusal> refusals_;
    /** Number of the latest report that told of the refusals and ended lives. */
    std::uint64_t toldIn_ = 0;
    Jobs::PaceController pace_;
    Timer ticker_;
};

} // namespace Oleander::Fleet
