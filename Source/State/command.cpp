#include "State/command.h"

#include "Protocol/codec.h"

namespace Oleander::State {

std::string encodeCommand(const Command &command)
{
    return encode(command);
}

Result<Outcome> decodeOutcome(std::string_view bytes)
{
    return decode<Outcome>(bytes);
}

} // namespace Oleander::State
