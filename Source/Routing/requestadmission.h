#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Protocol/messages.h"
#include "Routing/admissionqueue.h"
#include "Routing/deadline.h"
#include "Routing/duplicatetable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Oleander {

/** What a minion says of itself. */
struct MinionAnnouncement
{
    std::string name;
    std::string service;
    /** Address of its HTTP door. */
    std::string address;
    MinionCapacity capacity;
    Duration timeToLive{};
    /** Slots that are busy right now, when the minion tells it. */
    std::optional<std::uint32_t> busySlots;
};

/** Limits of an agent's admission. */
struct RequestAdmissionSettings
{
    std::string agent;
    std::size_t maxMinions = 64;
    /** Attempts and tombstones that are remembered. */
    std::size_t maxTrackedAttempts = 100'000;
    /** Silence after which a lapsed minion is forgotten. */
    Duration forgetAfter = std::chrono::seconds(30);
    /** Fails while the agent may not take work, as without a fresh configuration; may be empty. */
    std::function<Result<void>()> gate;
};

/** What an admission does to the world around it. */
class AdmissionPort
{
public:
    virtual ~AdmissionPort() = default;
    /** Sends an admitted request to the minion at \a address; finished() follows once. */
    virtual void run(const std::string &address, RequestDispatch message, Duration timeout) = 0;
    /** Gives a running request up; finished() does not follow. */
    virtual void abort(const std::string &address, const std::string &request) = 0;
    virtual void answer(const std::string &entry, RequestAnswer answer) = 0;
};

/** Counters of an admission, for the dump and the metrics. */
struct AdmissionCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t cancelled = 0;
};

/**
 * \class RequestAdmission
 * \brief Decides beside the minions which attempts run, and tells truthfully which did not.
 *
 * An attempt is recorded before its first byte may leave for the minion, so each runs at most once
 * here. "Not run" is said only of attempts that never were handed to a minion.
 */
class RequestAdmission
{
public:
    RequestAdmission(const Clock &clock, RequestAdmissionSettings settings, AdmissionPort &port);

    Result<void> announce(const MinionAnnouncement &announcement);
    /** Lets a minion leave: what runs ends, what is queued is refused. */
    Result<void> withdraw(const std::string &name);
    /** Lets every minion leave, as the agent itself does. */
    void withdrawAll();
    /** Every minion as entries are to see it; while the gate is closed none is offered. */
    std::vector<MinionStatus> minions() const;
    /** Called when a minion came, left, or lapsed: entries should hear of it at once. */
    void onMinionsChanged(std::function<void()> handler) { minionsChanged_ = std::move(handler); }

    /** Takes an attempt of \a entry that was meant for this incarnation of the agent. */
    void dispatch(const std::string &entry, RequestDispatch message);
    void cancel(const RequestCancel &message);
    /** A whole answer of the minion. */
    void finished(const std::string &request, RequestAnswer answer);
    /** No whole answer: \a outcome tells whether the request may have run. */
    void failed(const std::string &request, Outcome outcome, Step step, std::string detail);
    /** Drops what is late, and lapses what was not renewed; to be called at nextWakeup(). */
    void tick();
    TimePoint nextWakeup() const;

    std::size_t running() const { return running_; }
    const AdmissionCounters &counters() const { return counters_; }

private:
    struct LocalMinion
    {
        MinionAnnouncement announcement;
        MinionState state = MinionState::Serving;
        TimePoint expiry{};
        AdmissionQueue queue;
    };
    struct AdmittedRequest
    {
        std::string entry;
        RequestDispatch message;
        Deadline deadline;
        bool running = false;
        std::string address;
        TimePoint startedAt{};
    };

    void admit(const std::string &entry, RequestDispatch message);
    void startNext(LocalMinion &minion);
    void run(LocalMinion &minion, AdmittedRequest &admitted);
    void refuseQueued(LocalMinion &minion, const std::string &reason);
    void refuse(const std::string &entry, const RequestDispatch &message, std::string detail);
    void answer(const std::string &entry, const std::string &minion, RequestAnswer answer);
    void releaseSlot(const AdmittedRequest &admitted, Outcome outcome);
    RequestAnswer makeAnswer(const std::string &request, Outcome outcome, Step step,
                             std::string detail) const;
    void minionsChanged() const;

    const Clock &clock_;
    RequestAdmissionSettings settings_;
    AdmissionPort &port_;
    std::map<std::string, LocalMinion> minions_;
    std::unordered_map<std::string, AdmittedRequest> admitted_;
    DuplicateTable duplicates_;
    AdmissionCounters counters_;
    std::function<void()> minionsChanged_;
    std::size_t running_ = 0;
};

} // namespace Oleander
