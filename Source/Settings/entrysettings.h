#pragma once

#include "Base/clock.h"
#include "Base/location.h"
#include "Runtime/httpserver.h"
#include "Settings/settingsbinder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** How an entry treats callers' requests. */
struct RequestSettings
{
    /** Deadline of a request that names none. */
    Duration defaultTimeout = std::chrono::seconds(10);
    /** Longest deadline that a caller may ask for. */
    Duration maxTimeout = std::chrono::seconds(60);
    std::uint64_t maxInFlight = 2048;
    /** Retries and hedges as a share of the live traffic. */
    std::uint64_t retryBudgetPercent = 10;
    std::uint64_t hedgeBudgetPercent = 5;
    /** Time for which a claimed idempotency key and its answer are kept. */
    Duration keyLifetime = std::chrono::minutes(10);
    /** Time after SIGTERM in which new requests are still served, so that the balancer can leave.
     */
    Duration drainDelay = std::chrono::seconds(2);
    /** Time after the drain delay by which requests in flight are expected to end. */
    Duration drainTimeout = std::chrono::seconds(60);
};

/** Leases that the control group grants; an agent's own settings must not exceed them. */
struct LeaseSettings
{
    /** Length of a worker's lease from the agent's heartbeat. */
    Duration worker = std::chrono::seconds(3);
    /** Time past the end of a worker's lease before its tasks may start elsewhere. */
    Duration margin = std::chrono::milliseconds(500);
    /** Time for which a confirmed configuration version counts as current. */
    Duration configuration = std::chrono::seconds(3);
};

/** How the replicas of the control log treat each other. */
struct ControlSettings
{
    /** Least time without a leader's message before an election; the most is twice as long. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Entries of the log after which a snapshot is taken. */
    std::uint64_t snapshotEntries = 20'000;
    /** Time for which a proposal or a read waits for its outcome. */
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
    std::string callerDoor;
    std::string operatorDoor;
    /** Address on which the inbox listens. */
    std::string link;
    /** Address of the inbox as other processes dial it. */
    std::string linkAdvertised;
    /** Folder of the replica; empty when this entry holds none. */
    std::string dataFolder;
    /** Voting members of the control group, with the addresses of their links. */
    std::vector<PeerAddress> controlGroup;
    HttpLimits callerLimits;
    HttpLimits operatorLimits;
    RequestSettings request;
    LeaseSettings lease;
    ControlSettings control;
};

/** Checks the whole of \a file and fills the settings of an entry. */
CheckedSettings<EntrySettings> parseEntrySettings(IniFile file);

} // namespace Oleander
