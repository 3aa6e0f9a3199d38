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
 * \brief Accepts connections of other processes, receives their frames and answers on them.
 *
 * Frames that cannot be decoded are counted, told through malformed, and dropped.
 */
class Inbox
{
public:
    explicit Inbox(EventLoop &loop);
    ~Inbox();
    Inbox(const Inbox &) = delete;
    Inbox &operator=(const Inbox &) = delete;

    /** Listens on "ADDRESS:PORT"; port 0 lets the system pick one. Returns the address in use. */
    Result<std::string> listen(const std::string &address);
    /** True while a connection is open on which \a sender has sent a frame. */
    bool hasConnectionFrom(const std::string &sender) const;
    /** Sends \a frame on the connection that last brought one of \a sender. */
    Result<void> reply(const std::string &sender, const Frame &frame);
    std::uint64_t malformedFrames() const;
    std::uint64_t bytesReceived() const;

    /** Emitted on the loop's thread for each frame. */
    sigc::signal<void(Frame &&)> received;
    /** Emitted on the loop's thread for each frame that was dropped. */
    sigc::signal<void(const Error &)> malformed;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/**
 * \class Outbox
 * \brief Dials the inbox of one other process, again and again, and exchanges frames with it.
 *
 * Frames are kept in order. A frame that was accepted may still be lost with its connection, and
 * nobody is told: whoever needs an answer waits for it with a deadline.
 */
class Outbox
{
public:
    Outbox(EventLoop &loop, std::string address);
    ~Outbox();
    Outbox(const Outbox &) = delete;
    Outbox &operator=(const Outbox &) = delete;

    /** True while a connection stands. */
    bool connected() const;
    /**
     * Hands a frame to the connection. Fails with Failure::Unavailable while none stands and with
     * Failure::Overloaded when its queue is full; in both cases not one byte has left.
     */
    Result<void> send(const Frame &frame);
    const std::string &address() const;
    std::uint64_t bytesSent() const;

    /** Emitted on the loop's thread when the connection comes (true) or goes (false). */
    sigc::signal<void(bool)> connectionChanged;
    /** Emitted on the loop's thread for each frame that the peer sends back. */
    sigc::signal<void(Frame &&)> received;
    /** Emitted on the loop's thread for each frame that was dropped. */
    sigc::signal<void(const Error &)> malformed;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
