#pragma once

#include "Base/error.h"
#include "Protocol/messages.h"
#include "Runtime/eventloop.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>

namespace Oleander {

/**
 * \class Inbox
 * \brief Accepts connections from other processes, receives their frames and sends replies.
 *
 * Frames that cannot be decoded are counted, reported through \a malformed and dropped.
 */
class Inbox
{
public:
    explicit Inbox(EventLoop &loop);
    ~Inbox();
    Inbox(const Inbox &) = delete;
    Inbox &operator=(const Inbox &) = delete;

    /** Listens on "ADDRESS:PORT"; port 0 picks a free port. Returns the actual address. */
    Result<std::string> listen(const std::string &address);
    /** True while a connection is open on which \a sender has sent a frame. */
    bool hasConnectionFrom(const std::string &sender) const;
    /** Sends \a frame on the connection on which \a sender last sent a frame. */
    Result<void> reply(const std::string &sender, const Frame &frame);
    std::uint64_t malformedFrames() const;
    std::uint64_t bytesReceived() const;

    /** Emitted on the loop's thread for each received frame. */
    sigc::signal<void(Frame &&)> received;
    /** Emitted on the loop's thread for each frame that was dropped. */
    sigc::signal<void(const Error &)> malformed;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/**
 * \class Outbox
 * \brief Keeps a connection to the inbox of another process, reconnecting as needed, and exchanges
 * frames with it.
 *
 * Frames are delivered in order. An accepted frame can still be lost without notice when the
 * connection breaks, so callers that need a reply must use a deadline.
 */
class Outbox
{
public:
    Outbox(EventLoop &loop, std::string address);
    ~Outbox();
    Outbox(const Outbox &) = delete;
    Outbox &operator=(const Outbox &) = delete;

    /** True while the connection is established. */
    bool connected() const;
    /**
     * Queues a frame on the connection. Fails with Failure::Unavailable while not connected and
     * with Failure::Overloaded while the send queue is full; in both cases no byte has been sent.
     */
    Result<void> send(const Frame &frame);
    const std::string &address() const;
    std::uint64_t bytesSent() const;

    /** Emitted on the loop's thread when the connection is established (true) or lost (false). */
    sigc::signal<void(bool)> connectionChanged;
    /** Emitted on the loop's thread for each frame received from the peer. */
    sigc::signal<void(Frame &&)> received;
    /** Emitted on the loop's thread for each frame that was dropped. */
    sigc::signal<void(const Error &)> malformed;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
