#include "Configuration/configurationexchange.h"

namespace Oleander {

namespace {

/** Questions whose answers still count. */
constexpr std::size_t MaxOpen = 64;

} // namespace

ConfigurationPull ConfigurationQuestions::ask(TimePoint now)
{
    open_[++lastStamp_] = {now, gate_.version()};
    if (open_.size() > MaxOpen)
        open_.erase(open_.begin());
    return {gate_.version(), lastStamp_};
}

ConfigurationQuestions::Taken ConfigurationQuestions::take(const ConfigurationPush &push)
{
    const auto found = open_.find(push.stamp);
    if (found == open_.end())
        return {};
    const auto question = found->second;
    open_.erase(found);
    // An answer leaves out the values of the version that the question named as known, so it must
    // not bring that version into force.
    if (push.version <= question.known && push.version != gate_.version())
        return {};
    // The answer was made after the question, so counting its age back from the question puts the
    // confirmation too early rather than too late, whatever the link took.
    std::optional<TimePoint> confirmedAt;
    if (push.fresh)
        confirmedAt = question.askedAt - push.age;
    return {gate_.offer(push.version, push.values, confirmedAt), push.fresh};
}

ConfigurationPush answerTo(const ConfigurationPull &pull, const ConfigurationGate &gate,
                           TimePoint now)
{
    ConfigurationPush push;
    push.version = gate.version();
    push.stamp = pull.stamp;
    push.fresh = gate.admits(now);
    if (push.fresh)
        push.age = now - *gate.confirmedAt();
    if (pull.knownVersion < gate.version())
        push.values = gate.values();
    return push;
}

} // namespace Oleander
