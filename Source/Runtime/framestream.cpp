#include "Runtime/framestream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>
#include <string>

namespace Oleander {

namespace {

// Each frame is preceded by its length in network byte order.
constexpr std::size_t LengthBytes = 4;
// Large enough for the snapshot chunks in flight; write() fails while the queue is full.
constexpr std::size_t MaxQueuedBytes = 16U << 20U;
// TCP_USER_TIMEOUT: the connection fails if sent data stays unacknowledged this long.
constexpr unsigned UnacknowledgedTimeoutMs = 2'500;

} // namespace

FrameStream::FrameStream(EventLoop &loop, int descriptor, std::size_t maxFrameBytes,
                         FrameStreamEvents events)
    : maxFrameBytes_(maxFrameBytes), events_(std::move(events))
{
    if (descriptor >= 0)
        evutil_make_socket_nonblocking(descriptor);
    stream_ = bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        stream_, [](bufferevent *, void *self) { static_cast<FrameStream *>(self)->readFrames(); },
        nullptr,
        [](bufferevent *, short what, void *self) {
            static_cast<FrameStream *>(self)->onEvent(what);
        },
        this);
}

FrameStream::~FrameStream()
{
    bufferevent_free(stream_);
}

void FrameStream::enable()
{
    setOptions();
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

bool FrameStream::connect(const sockaddr *address, int size)
{
    return bufferevent_socket_connect(stream_, const_cast<sockaddr *>(address), size) == 0;
}

bool FrameStream::write(std::string_view frame)
{
    evbuffer *output = bufferevent_get_output(stream_);
    if (closed_ || evbuffer_get_length(output) > MaxQueuedBytes)
        return false;
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
    // Length and payload are added in one piece, so that a short frame needs only one write.
    std::string bytes(LengthBytes + frame.size(), '\0');
    std::memcpy(bytes.data(), &length, LengthBytes);
    std::memcpy(bytes.data() + LengthBytes, frame.data(), frame.size());
    evbuffer_add(output, bytes.data(), bytes.size());
    return true;
}

void FrameStream::close()
{
    closed_ = true;
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    bufferevent_setcb(stream_, nullptr, nullptr, nullptr, nullptr);
    // Shuts the socket down now, since the stream may be destroyed only in a later iteration.
    const int descriptor = bufferevent_getfd(stream_);
    if (descriptor >= 0)
        shutdown(descriptor, SHUT_RDWR);
}

void FrameStream::readFrames()
{
    evbuffer *input = bufferevent_get_input(stream_);
    while (!closed_ && evbuffer_get_length(input) >= LengthBytes) {
        std::uint32_t length = 0;
        evbuffer_copyout(input, &length, LengthBytes);
        const std::size_t size = ntohl(length);
        if (size > maxFrameBytes_)
            return events_.ended();
        if (evbuffer_get_length(input) < LengthBytes + size)
            return;
        evbuffer_drain(input, LengthBytes);
        std::string frame(size, '\0');
        evbuffer_remove(input, frame.data(), size);
        events_.frame(frame);
    }
}

void FrameStream::onEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        enable();
        events_.connected();
    } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        events_.ended();
    }
}

void FrameStream::setOptions()
{
    const int descriptor = bufferevent_getfd(stream_);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedTimeoutMs,
               sizeof UnacknowledgedTimeoutMs);
}

} // namespace Oleander
