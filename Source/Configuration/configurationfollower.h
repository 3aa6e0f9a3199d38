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
    /** Names of the entries that are asked. */
    std::vector<std::string> entries;
    /** Time between two questions; a fraction of the configuration lease. */
    Duration interval = std::chrono::milliseconds(500);
};

/**
 * \class ConfigurationFollower
 * \brief Keeps the gate of a process up to date by asking entries.
 *
 * One entry is asked again and again while it answers with a confirmed version; after an answer
 * that fails to come, or is not confirmed, the next entry is asked. A frame that carries a higher
 * version than the own makes it ask that sender at once.
 */
class ConfigurationFollower
{
public:
    ConfigurationFollower(EventLoop &loop, Messenger &messenger, ConfigurationGate &gate,
                          ConfigurationFollowerOptions options);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** Asks the first entry and starts the timer. */
    void start();

    /** Tells the log which version came into force in this process. */
    void logApplied() const;

    /** Emitted when another version came into force in this process. */
    sigc::signal<void()> changed;

private:
    const std::string &entryInTurn() const;
    void logTransition();
    std::vector<DumpRow> dumpRows() const;
    void askInTurn();
    void ask(const std::string &entry);
    void heard(const Sender &sender);
    void receive(const Sender &from, const ConfigurationPush &push);

    EventLoop &loop_;
    Messenger &messenger_;
    ConfigurationGate &gate_;
    ConfigurationQuestions questions_;
    ConfigurationFollowerOptions options_;
    Timer timer_;
    /** True once the entry whose turn it is gave a confirmed answer. */
    bool turnAnswered_ = true;
    std::size_t turn_ = 0;
    TimePoint lastUrgent_{};
    bool wasAdmitting_ = false;
    DumpSection dump_;
    /** Handlers of the messenger that outlive the follower find this empty. */
    std::shared_ptr<ConfigurationFollower *> alive_;
};

} // namespace Oleander
