#pragma once

#include "Runtime/address.h"
#include "Runtime/eventloop.h"

#include <catch2/catch.hpp>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <string>

namespace Oleander::Testing {

/**
 * \class ResettingListener
 * \brief Accepts connections at an address and resets each of them at once.
 *
 * On the loop of the connecting client, the reset precedes the first byte of the client.
 */
class ResettingListener
{
public:
    ResettingListener(EventLoop &loop, const std::string &address)
    {
        const auto parsed = parseSocketAddress(address);
        REQUIRE(parsed);
        sockaddr_in native = nativeAddress(*parsed);
        listener_ = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self) {
                static_cast<ResettingListener *>(self)->reset(descriptor);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, SOMAXCONN,
            reinterpret_cast<sockaddr *>(&native), sizeof native);
        REQUIRE(listener_ != nullptr);
    }
    ~ResettingListener() { evconnlistener_free(listener_); }
    ResettingListener(const ResettingListener &) = delete;
    ResettingListener &operator=(const ResettingListener &) = delete;

    /** Number of connections that were reset. */
    std::size_t connections() const { return connections_; }

private:
    void reset(evutil_socket_t descriptor)
    {
        const linger discard{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(descriptor);
        ++connections_;
    }

    evconnlistener *listener_ = nullptr;
    std::size_t connections_ = 0;
};

} // namespace Oleander::Testing
