#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Oleander {

/**
 * \class StateMachine
 * \brief Interface of the state that each replica builds from the committed commands.
 *
 * apply() must be deterministic: it must not read a clock or use random numbers. A time that a
 * command needs is part of the command.
 */
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /** Applies the command committed at \a index and returns its outcome for the proposer. */
    virtual std::string apply(std::uint64_t index, std::string_view command) = 0;
    /** Returns the whole state, encoded for restore(). */
    virtual std::string snapshot() const = 0;
    /** Replaces the whole state with one returned by snapshot() on this or another replica. */
    virtual Result<void> restore(std::string_view bytes) = 0;
};

} // namespace Oleander
