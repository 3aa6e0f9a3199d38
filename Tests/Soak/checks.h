#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** Microseconds on the steady clock of the soak. */
using SoakTime = std::int64_t;

SoakTime soakNow();

/** How a call ended for its caller. */
enum class CallEnd {
    /** A whole HTTP response was received. */
    Answered,
    /** No connection was accepted. */
    NotConnected,
    /** The connection ended before the whole response was received. */
    Cut,
    /** No whole response was received within the limit against hanging. */
    TimedOut
};

/** One call, as its caller saw it. */
struct CallRecord
{
    /** Sent to the minion, which counts its runs. */
    std::string id;
    /** Common to a request and its resends under one idempotency key. */
    std::string request;
    bool idempotent = false;
    std::string entry;
    SoakTime begin = 0;
    SoakTime end = 0;
    CallEnd result = CallEnd::Answered;
    int status = 0;
    /** "not-run" or "unknown"; empty in an answer of the minion. */
    std::string outcome;
    /** Whether a body of the minion is the whole one of this request. */
    bool isOwnAnswer = true;
    /** Whether processes had only been stopped gracefully until the end of the call. */
    bool inGracefulPart = false;
};

/** Time in which an entry was stopped gracefully, or dead after a kill. */
struct Outage
{
    std::string entry;
    SoakTime begin = 0;
    SoakTime end = 0;
    bool graceful = false;
};

/** Runs that the minions counted, by CallRecord::id. */
using RunCounts = std::map<std::string, int>;

/** Each check returns one sentence a violation. */
using Violations = std::vector<std::string>;

/** Answers that are cut short or belong to another request, and calls that were never answered. */
Violations findWrongAnswers(const std::vector<CallRecord> &calls);
/** Calls answered with "not-run" that a minion ran. */
Violations findUntrueRefusals(const std::vector<CallRecord> &calls, const RunCounts &runs);
/** Non-idempotent requests that ran more than once, resends included. */
Violations findSecondRuns(const std::vector<CallRecord> &calls, const RunCounts &runs);
/**
 * Calls that were cut off although their entry was not killed. While an entry stops, only a call
 * that began after SIGTERM and that no minion ran may find its connection closed.
 */
Violations findCutCalls(const std::vector<CallRecord> &calls, const std::vector<Outage> &outages,
                        const RunCounts &runs);
/** Calls with an unknown outcome while processes were only stopped gracefully. */
Violations findUnknownOutcomes(const std::vector<CallRecord> &calls);

/** What was seen after the last fault, up to the limit against hanging. */
struct ServiceState
{
    std::vector<std::string> silentEntries;
    /** State of each accepted job; empty if no entry answered. */
    std::map<std::string, std::string> jobStates;
};

/** Entries that do not serve and accepted jobs that are not done. */
Violations findMissingService(const ServiceState &state);

/**
 * Attempts of a task that ran at the same time, read from the lines of the stand-in workers:
 * "begin TASK ATTEMPT TIME PROCESS", "end TASK ATTEMPT TIME PROCESS STATE" and, for a worker that
 * was killed, "died - 0 TIME PROCESS".
 */
Violations findOverlappingAttempts(const std::string &lines);

/**
 * \class RecordCheck
 * \brief Compares what operators read of one record with what was accepted before.
 */
class RecordCheck
{
public:
    explicit RecordCheck(std::string name) : name_(std::move(name)) {}

    /** The command that made \a revision with \a body was accepted. */
    void accept(std::uint64_t revision, const std::string &body);
    /** Highest revision that a later read must return. */
    std::uint64_t floor() const { return floor_; }
    /** A read that began when floor() was \a floor; \a revision is 0 if there was no record. */
    void read(const std::string &entry, std::uint64_t floor, std::uint64_t revision,
              const std::string &body);

    const std::string &name() const { return name_; }
    const Violations &violations() const { return violations_; }

private:
    std::string name_;
    std::uint64_t floor_ = 0;
    std::map<std::uint64_t, std::string> bodies_;
    Violations violations_;
};

} // namespace Oleander::Testing
