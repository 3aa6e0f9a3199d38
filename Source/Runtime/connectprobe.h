#pragma once

#include "Runtime/eventloop.h"

#include <functional>
#include <string>
#include <system_error>

struct event;

namespace Oleander {

/**
 * \class ConnectProbe
 * \brief Tells whether a process listens at an address, by connecting to it.
 *
 * A failed request does not tell: its connection may have been accepted and then reset, or this
 * process may have been unable to open one.
 */
class ConnectProbe
{
public:
    /** Receives std::errc::connection_refused if no process listens at the address, and no error or
     * std::errc::connection_reset if one does. Any other error tells nothing about the peer. */
    using Callback = std::function<void(std::error_code)>;

    /** \a address has the form "ADDRESS:PORT". */
    ConnectProbe(EventLoop &loop, std::string address);
    ~ConnectProbe();
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

    /** Connects to the address and closes the connection again; replaces an attempt under way. The
     * callback is called once, in a later loop iteration, unless the attempt is cancelled. */
    void start(Callback callback);
    void cancel();

private:
    std::error_code connect();
    void complete();

    EventLoop &loop_;
    std::string address_;
    Callback callback_;
    int descriptor_ = -1;
    std::error_code error_;
    event *ready_ = nullptr;
};

} // namespace Oleander
