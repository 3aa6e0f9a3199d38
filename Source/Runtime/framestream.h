#pragma once

#include "Runtime/eventloop.h"

#include <functional>
#include <string_view>

struct bufferevent;
struct sockaddr;

namespace Oleander {

/** Callbacks of a FrameStream; called on the loop's thread. */
struct FrameStreamEvents
{
    std::function<void()> connected;
    /** A complete frame arrived; an empty frame is a keep-alive probe or its reply. */
    std::function<void(std::string_view)> frame;
    /** The connection was closed, or a frame exceeded the maximum size. */
    std::function<void()> ended;
};

/**
 * \class FrameStream
 * \brief Length-prefixed frames over one TCP connection.
 *
 * The owner must not destroy a stream inside one of its callbacks. After close() there are no more
 * callbacks, and the stream can be destroyed in a later iteration of the loop.
 */
class FrameStream
{
public:
    /** Takes ownership of \a descriptor; -1 for a stream that is opened by connect(). */
    FrameStream(EventLoop &loop, int descriptor, std::size_t maxFrameBytes,
                FrameStreamEvents events);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /** Starts reading from an accepted connection. */
    void enable();
    /** Starts to connect; returns false if that fails immediately. */
    bool connect(const sockaddr *address, int size);
    /** Queues one frame; returns false if the queue is full or the stream is closed. */
    bool write(std::string_view frame);
    /** Shuts the connection down; no callback is called afterwards. */
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
