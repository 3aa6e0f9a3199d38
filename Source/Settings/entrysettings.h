#pragma once

#include "Base/clock.h"
#include "Base/location.h"
#include "Settings/commonsettings.h"
#include "Settings/settingsbinder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** Limits and budgets of an entry for callers' requests. */
struct RequestSettings
{
    /** Deadline of a request that does not specify one. */
    Duration defaultTimeout = std::chrono::seconds(10);
    /** Maximum deadline that a caller may request. */
    Duration maxTimeout = std::chrono::seconds(60);
    /** Maximum number of requests in flight. */
    std::uint64_t maxInFlight = 2048;
    /** Maximum retries, in percent of the live traffic. */
    std::uint64_t retryBudgetPercent = 10;
    /** Maximum hedged requests, in percent of the live traffic. */
    std::uint64_t hedgeBudgetPercent = 5;
    /** Time for which a claimed idempotency key and its answer are stored. */
    Duration keyLifetime = std::chrono::minutes(10);
    /** Time after SIGTERM during which new requests are still served, so that the load balancer
     * can remove this entry. */
    Duration drainDelay = std::chrono::seconds(2);
    /** Time after the drain delay within which requests in flight are expected to complete. */
    Duration drainTimeout = std::chrono::seconds(60);
};

/** Leases that the control group grants; an agent's own settings must not exceed them. */
struct LeaseSettings
{
    /** Duration of a worker's lease, counted from the agent's heartbeat. */
    Duration worker = std::chrono::seconds(3);
    /** Time after the expiry of a worker's lease before its tasks may start on another worker. */
    Duration margin = std::chrono::milliseconds(500);
    /** Time for which a confirmed configuration version is considered current. */
    Duration configuration = std::chrono::seconds(3);
};

/** Consensus timing and snapshots of the replicas of the control log. */
struct ControlSettings
{
    /** Minimum time without a message from the leader before an election; the maximum is twice as
     * long. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    /** Interval of the leader's heartbeats. */
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Number of log entries after which a snapshot is taken. */
    std::uint64_t snapshotEntries = 20'000;
    /** Timeout of a proposal or a linearizable read. */
    Duration proposalTimeout = std::chrono::seconds(5);
};

/**
 * \struct EntrySettings
 * \brief Settings of one entry process (`oleander serve`).
 */
struct EntrySettings
{
    std::string name;
    Location location;
    /** Address of the HTTP server for callers. */
    std::string callerDoor;
    /** Address of the HTTP server for operators. */
    std::string operatorDoor;
    /** Address on which the messenger of this process listens. */
    std::string link;
    /** Address to which other processes connect to reach the messenger. */
    std::string linkAdvertised;
    /** Data folder of the replica; empty if this entry has no replica. */
    std::string dataFolder;
    /** Voting members of the control group, with the addresses of their messengers. */
    std::vector<PeerAddress> controlGroup;
    HttpLimits callerLimits;
    HttpLimits operatorLimits = DocumentLimits;
    HttpSettings http;
    RequestSettings request;
    LeaseSettings lease;
    ControlSettings control;
};

/** Validates \a file completely and returns the settings of an entry. */
CheckedSettings<EntrySettings> parseEntrySettings(IniFile file);

} // namespace Oleander
