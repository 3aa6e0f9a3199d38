#include "Configuration/configurationfollower.h"

#include "Runtime/log.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Minimum time between pull requests triggered by frames with a higher version. */
constexpr Duration MinImmediatePullInterval = std::chrono::milliseconds(20);

} // namespace

ConfigurationFollower::ConfigurationFollower(EventLoop &loop, Messenger &messenger,
                                             ConfigurationGate &gate,
                                             ConfigurationFollowerOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , gate_(gate)
    , puller_(gate)
    , options_(std::move(options))
    , timer_(loop, [this] { pullFromCurrentEntry(); })
    , dump_("configuration", [this] { return dumpRows(); })
    , self_(std::make_shared<ConfigurationFollower *>(this))
{
    messenger_.frameReceived.connect([weak = std::weak_ptr(self_)](const Sender &sender) {
        if (const auto self = weak.lock())
            (*self)->onFrameReceived(sender);
    });
    messenger_.on<ConfigurationPush>(
        [weak = std::weak_ptr(self_)](const Sender &from, ConfigurationPush &&push) {
            if (const auto self = weak.lock())
                (*self)->receive(from, push);
        });
}

ConfigurationFollower::~ConfigurationFollower() = default;

void ConfigurationFollower::start()
{
    pullFromCurrentEntry();
    timer_.startEvery(options_.interval);
}

void ConfigurationFollower::logApplied() const
{
    logEvent(LogEvent::ConfigurationApplied, Step::Apply, {}, {{"version", gate_.version()}});
}

void ConfigurationFollower::logTransition()
{
    const bool isAdmittingWork = gate_.admitsWork(loop_.clock().now());
    if (wasAdmittingWork_ && !isAdmittingWork) {
        logEvent(LogEvent::ConfigurationStale, Step::Spread,
                 options_.entries.empty() ? std::string() : currentEntry(),
                 {{"version", gate_.version()}});
    }
    wasAdmittingWork_ = isAdmittingWork;
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
              {"admits", gate_.admitsWork(now)},
              {"confirmed_ms_ago", age},
              {"values", gate_.values().size()}}}};
}

void ConfigurationFollower::pullFromCurrentEntry()
{
    logTransition();
    if (options_.entries.empty())
        return;
    if (!hasCurrentEntryConfirmed_)
        ++entryIndex_;
    hasCurrentEntryConfirmed_ = false;
    pullFrom(currentEntry());
}

const std::string &ConfigurationFollower::currentEntry() const
{
    return options_.entries[entryIndex_ % options_.entries.size()];
}

void ConfigurationFollower::pullFrom(const std::string &entry)
{
    // If the request cannot be sent it gets no reply, and the next entry is used.
    static_cast<void>(messenger_.send(entry, puller_.startPull(loop_.clock().now())));
}

void ConfigurationFollower::onFrameReceived(const Sender &sender)
{
    const bool isEntry = std::find(options_.entries.begin(), options_.entries.end(), sender.name)
                         != options_.entries.end();
    const auto now = loop_.clock().now();
    if (sender.configurationVersion <= gate_.version() || !isEntry
        || now - lastImmediatePull_ < MinImmediatePullInterval)
        return;
    lastImmediatePull_ = now;
    pullFrom(sender.name);
}

void ConfigurationFollower::receive(const Sender &from, const ConfigurationPush &push)
{
    const auto result = puller_.handlePush(push);
    if (result.confirmed && from.name == currentEntry())
        hasCurrentEntryConfirmed_ = true;
    if (push.version < gate_.version()) {
        logEvent(LogEvent::ConfigurationRefused, Step::Apply, from.name,
                 {{"version", gate_.version()}, {"offered", push.version}});
    }
    if (!result.changed)
        return;
    logApplied();
    messenger_.setConfigurationVersion(gate_.version());
    changed.emit();
}

} // namespace Oleander
