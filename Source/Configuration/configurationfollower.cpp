#include "Configuration/configurationfollower.h"

#include "Runtime/log.h"

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
    , dump_("configuration", [this] { return dumpRows(); })
    , alive_(std::make_shared<ConfigurationFollower *>(this))
{
    messenger_.frameReceived.connect([weak = std::weak_ptr(alive_)](const Sender &sender) {
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

void ConfigurationFollower::logApplied() const
{
    logEvent(LogEvent::ConfigurationApplied, Step::Apply, {}, {{"version", gate_.version()}});
}

void ConfigurationFollower::logTransition()
{
    const bool isAdmitting = gate_.admits(loop_.clock().now());
    if (wasAdmitting_ && !isAdmitting) {
        logEvent(LogEvent::ConfigurationStale, Step::Spread,
                 options_.entries.empty() ? std::string() : entryInTurn(),
                 {{"version", gate_.version()}});
    }
    wasAdmitting_ = isAdmitting;
}

std::vector<DumpRow> ConfigurationFollower::dumpRows() const
{
    const auto now = loop_.clock().now();
    const auto age =
        gate_.confirmedAt()
            ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *gate_.confirmedAt())
                  .count()
            : -1;
    return {{"in-force",
             {{"version", gate_.version()},
              {"admits", gate_.admits(now)},
              {"confirmed_ms_ago", age},
              {"values", gate_.values().size()}}}};
}

void ConfigurationFollower::askInTurn()
{
    logTransition();
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
    if (push.version < gate_.version()) {
        logEvent(LogEvent::ConfigurationRefused, Step::Apply, from.name,
                 {{"version", gate_.version()}, {"offered", push.version}});
    }
    if (!taken.changed)
        return;
    logApplied();
    messenger_.setConfigurationVersion(gate_.version());
    changed.emit();
}

} // namespace Oleander
