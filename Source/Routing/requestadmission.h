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

/** Announcement by which a minion registers with its agent. */
struct MinionAnnouncement
{
    std::string name;
    std::string service;
    /** Address of the HTTP server of the minion. */
    std::string address;
    MinionCapacity capacity;
    Duration timeToLive{};
    /** Number of slots in use, if the minion reports it. */
    std::optional<std::uint32_t> busySlots;
};

/** Settings of RequestAdmission. */
struct RequestAdmissionSettings
{
    std::string agent;
    std::size_t maxMinions = 64;
    /** Maximum number of attempts and tombstones kept to detect duplicates. */
    std::size_t maxTrackedAttempts = 100'000;
    /** Time after which a minion that is not serving and runs no request is removed. */
    Duration forgetAfter = std::chrono::seconds(30);
    /** Fails while the agent must not accept work, such as with a stale configuration; optional. */
    std::function<Result<void>()> gate;
};

/** Interface through which RequestAdmission calls minions and answers entries. */
class AdmissionPort
{
public:
    virtual ~AdmissionPort() = default;
    /** Sends a request to the minion at \a address; finished() or failed() is called once. */
    virtual void run(const std::string &address, RequestDispatch message, Duration timeout) = 0;
    /** Aborts a running request; neither finished() nor failed() is called for it. */
    virtual void abort(const std::string &address, const std::string &request) = 0;
    virtual void answer(const std::string &entry, RequestAnswer answer) = 0;
};

/** Counters of RequestAdmission for the dump and the metrics. */
struct AdmissionCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t cancelled = 0;
};

/**
 * \class RequestAdmission
 * \brief Admission control of an agent for the attempts sent to its minions.
 *
 * An attempt is recorded before any byte of it is sent to the minion, so an agent runs each attempt
 * at most once. Outcome::NotRun is reported only for attempts that were not sent to a minion.
 */
class RequestAdmission
{
public:
    RequestAdmission(const Clock &clock, RequestAdmissionSettings settings, AdmissionPort &port);

    Result<void> announce(const MinionAnnouncement &announcement);
    /** Drains a minion: running requests complete, queued requests are refused. */
    Result<void> withdraw(const std::string &name);
    /** Drains all minions, also those announced later, because the agent shuts down. */
    void withdrawAll();
    /** Status of all minions for the heartbeat; none is Serving while the gate is closed. */
    std::vector<MinionStatus> minions() const;
    /** Sets the handler called when the minions change, so that entries are notified promptly. */
    void onMinionsChanged(std::function<void()> handler) { minionsChanged_ = std::move(handler); }

    /** Handles an attempt that \a entry sent to this incarnation of the agent. */
    void dispatch(const std::string &entry, RequestDispatch message);
    void cancel(const RequestCancel &message);
    /** Handles a complete response of the minion. */
    void finished(const std::string &request, RequestAnswer answer);
    /** Handles a call without a complete response; \a outcome says whether it may have run. */
    void failed(const std::string &request, Outcome outcome, Step step, std::string detail);
    /** Expires queued requests and announcements; to be called at nextWakeup(). */
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
    bool isShuttingDown_ = false;
};

} // namespace Oleander
