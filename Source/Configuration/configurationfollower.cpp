#include "Configuration/configurationfollower.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Least time between two questions that frames with a higher version cause. */
constexpr Duration UrgentPause = std::chrono::milliseconds(20);

} // namespace

ConfigurationFollower::ConfigurationFollower(EventLoop &loop, Messenger &messenger,
                                             ConfigurationGate &gate,
                                             ConfigurationFollowerOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , gate_(gate)
    , questions_(gate)
    , options_(std::move(options))
    , timer_(loop, [this] { askInTurn(); })
    , alive_(std::make_shared<ConfigurationFollower *>(this))
{
    messenger_.heard.connect([weak = std::weak_ptr(alive_)](const Sender &sender) {
        if (const auto self = weak.lock())
            (*self)->heard(sender);
    });
    messenger_.on<ConfigurationPush>(
        [weak = std::weak_ptr(alive_)](const Sender &from, ConfigurationPush &&push) {
            if (const auto self = weak.lock())
                (*self)->receive(from, push);
        });
}

ConfigurationFollower::~ConfigurationFollower() = default;

void ConfigurationFollower::start()
{
    askInTurn();
    timer_.startEvery(options_.interval);
}

void ConfigurationFollower::askInTurn()
{
    if (options_.entries.empty())
        return;
    if (!turnAnswered_)
        ++turn_;
    turnAnswered_ = false;
    ask(entryInTurn());
}

const std::string &ConfigurationFollower::entryInTurn() const
{
    return options_.entries[turn_ % options_.entries.size()];
}

void ConfigurationFollower::ask(const std::string &entry)
{
    // A question that cannot be sent counts as unanswered, and the next entry is asked.
    static_cast<void>(messenger_.send(entry, questions_.ask(loop_.clock().now())));
}

void ConfigurationFollower::heard(const Sender &sender)
{
    const bool isEntry = std::find(options_.entries.begin(), options_.entries.end(), sender.name)
                         != options_.entries.end();
    const auto now = loop_.clock().now();
    if (sender.configurationVersion <= gate_.version() || !isEntry
        || now - lastUrgent_ < UrgentPause)
        return;
    lastUrgent_ = now;
    ask(sender.name);
}

void ConfigurationFollower::receive(const Sender &from, const ConfigurationPush &push)
{
    const auto taken = questions_.take(push);
    if (taken.confirmed && from.name == entryInTurn())
        turnAnswered_ = true;
    if (!taken.changed)
        return;
    messenger_.setConfigurationVersion(gate_.version());
    changed.emit();
}

} // namespace Oleander
