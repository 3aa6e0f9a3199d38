#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Oleander {

/**
 * \class StateMachine
 * \brief State that every replica builds from the same committed commands.
 *
 * apply() must give the same state and the same outcome on every replica: it reads no clock and
 * draws no random number; whatever time a command needs stands in the command.
 */
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /** Applies the command committed at \a index and returns its outcome for the proposer. */
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;
    /** Returns the whole state as bytes that restore() takes. */
    virtual std::string snapshot() const = 0;
    /** Replaces the whole state by one that snapshot() gave, here or on another replica. */
    virtual Result<void> restore(std::string_view bytes) = 0;
};

} // namespace Oleander
