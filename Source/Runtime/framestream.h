#pragma once

#include "Runtime/eventloop.h"

#include <functional>
#include <string_view>

struct bufferevent;
struct sockaddr;

namespace Oleander {

/** What a FrameStream tells its owner; called on the loop's thread. */
struct FrameStreamEvents
{
    std::function<void()> connected;
    /** A whole frame; an empty one is a probe or its answer. */
    std::function<void(std::string_view)> frame;
    /** The connection ended or carried something that is no frame. */
    std::function<void()> ended;
};

/**
 * \class FrameStream
 * \brief Frames with a length before each over one TCP connection.
 *
 * The owner must not destroy a stream within one of its events; close() ends the events, and the
 * stream may then be destroyed in a later turn of the loop.
 */
class FrameStream
{
public:
    /** Takes over \a descriptor, or -1 for a stream that connect() opens. */
    FrameStream(EventLoop &loop, int descriptor, std::size_t maxFrameBytes,
                FrameStreamEvents events);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /** Starts to read an accepted connection. */
    void enable();
    /** Starts to connect; returns false when that fails at once. */
    bool connect(const sockaddr *address, int size);
    /** Queues one frame; returns false when the queue is full or the stream is closed. */
    bool write(std::string_view frame);
    /** Ends the events and the connection. */
    void close();

private:
    void readFrames();
    void onEvent(short what);
    void setOptions();

    std::size_t maxFrameBytes_;
    FrameStreamEvents events_;
    bufferevent *stream_ = nullptr;
    bool closed_ = false;
};

} // namespace Oleander
