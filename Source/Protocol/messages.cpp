#include "Protocol/messages.h"

#include "Protocol/codec.h"

#include <fmt/format.h>

namespace Oleander {

std::string encodeFrame(const Frame &frame)
{
    return encode(frame);
}

Result<Frame> decodeFrame(std::string_view bytes, const std::string &peer)
{
    auto frame = decode<Frame>(bytes, peer);
    if (frame && frame->protocol != ProtocolVersion) {
        return fail(
            Failure::Protocol, Step::Decode, frame->sender,
            fmt::format("The frame has protocol version {}; this process supports version {}.",
                        frame->protocol, ProtocolVersion));
    }
    return frame;
}

} // namespace Oleander
