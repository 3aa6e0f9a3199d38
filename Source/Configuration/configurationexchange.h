#pragma once

#include "Configuration/configurationgate.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>

namespace Oleander {

/**
 * \class ConfigurationQuestions
 * \brief The asking side of the exchange of configurations, without any input or output.
 */
class ConfigurationQuestions
{
public:
    explicit ConfigurationQuestions(ConfigurationGate &gate) : gate_(gate) {}

    /** Makes the next question. */
    ConfigurationPull ask(TimePoint now);

    /** What an answer changed. */
    struct Taken
    {
        /** Another version came into force. */
        bool changed = false;
        /** The answer was confirmed by a quorum. */
        bool confirmed = false;
    };

    /** Takes an answer; one that belongs to no open question is ignored. */
    Taken take(const ConfigurationPush &push);

private:
    struct Question
    {
        TimePoint askedAt{};
        std::uint64_t known = 0;
    };

    ConfigurationGate &gate_;
    std::map<std::uint64_t, Question> open_;
    std::uint64_t lastStamp_ = 0;
};

/** Makes the answer of a process with \a gate. */
ConfigurationPush answerTo(const ConfigurationPull &pull, const ConfigurationGate &gate,
                           TimePoint now);

} // namespace Oleander
