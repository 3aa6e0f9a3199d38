#pragma once

#include "Configuration/configurationexchange.h"
#include "Configuration/configurationgate.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "Runtime/statedump.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <vector>

namespace Oleander {

struct ConfigurationFollowerOptions
{
    /** Names of the entries from which the configuration is pulled. */
    std::vector<std::string> entries;
    /** Interval between pull requests; a fraction of the configuration lease. */
    Duration interval = std::chrono::milliseconds(500);
};

/**
 * \class ConfigurationFollower
 * \brief Keeps the configuration gate of a process up to date by pulling from entries.
 *
 * The same entry is used as long as it replies with a confirmed version; after a missing or
 * unconfirmed reply the next entry is used. A frame from an entry with a higher version triggers an
 * immediate pull request to its sender.
 */
class ConfigurationFollower
{
public:
    ConfigurationFollower(EventLoop &loop, Messenger &messenger, ConfigurationGate &gate,
                          ConfigurationFollowerOptions options);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** Sends the first pull request and starts the timer. */
    void start();

    /** Logs the version in force in this process. */
    void logApplied() const;

    /** Emitted when a new version is in force in this process. */
    sigc::signal<void()> changed;

private:
    const std::string &currentEntry() const;
    void logTransition();
    std::vector<DumpRow> dumpRows() const;
    void pullFromCurrentEntry();
    void pullFrom(const std::string &entry);
    void onFrameReceived(const Sender &sender);
    void receive(const Sender &from, const ConfigurationPush &push);

    EventLoop &loop_;
    Messenger &messenger_;
    ConfigurationGate &gate_;
    ConfigurationPuller puller_;
    ConfigurationFollowerOptions options_;
    Timer timer_;
    /** True if the current entry has sent a confirmed reply since the last timer tick. */
    bool hasCurrentEntryConfirmed_ = true;
    std::size_t entryIndex_ = 0;
    TimePoint lastImmediatePull_{};
    bool wasAdmittingWork_ = false;
    DumpSection dump_;
    /** Observed by the messenger's handlers, which may outlive the follower. */
    std::shared_ptr<ConfigurationFollower *> self_;
};

} // namespace Oleander
