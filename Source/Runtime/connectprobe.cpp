#include "Runtime/connectprobe.h"

#include "Runtime/address.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Oleander {

namespace {

std::error_code systemError(int number)
{
    return {number, std::generic_category()};
}

/** Returns the error with which the connecting of \a descriptor has ended, if any. */
std::error_code connectError(int descriptor)
{
    int number = 0;
    socklen_t size = sizeof number;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &number, &size) != 0)
        number = errno;
    return systemError(number);
}

} // namespace

ConnectProbe::ConnectProbe(EventLoop &loop, std::string address)
    : loop_(loop), address_(std::move(address))
{}

ConnectProbe::~ConnectProbe()
{
    cancel();
}

void ConnectProbe::start(Callback callback)
{
    cancel();
    callback_ = std::move(callback);
    error_ = connect();
    ready_ = event_new(
        loop_.base(), descriptor_, EV_WRITE,
        [](evutil_socket_t, short, void *self) { static_cast<ConnectProbe *>(self)->complete(); },
        this);
    if (error_)
        event_active(ready_, EV_WRITE, 0);
    else
        event_add(ready_, nullptr);
}

void ConnectProbe::cancel()
{
    if (ready_ != nullptr)
        event_free(std::exchange(ready_, nullptr));
    if (descriptor_ >= 0)
        close(std::exchange(descriptor_, -1));
    callback_ = {};
}

std::error_code ConnectProbe::connect()
{
    const auto parsed = parseSocketAddress(address_);
    if (!parsed)
        return std::make_error_code(std::errc::invalid_argument);
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0)
        return systemError(errno);
    const sockaddr_in native = nativeAddress(*parsed);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0
        || errno == EINPROGRESS)
        return {};
    return systemError(errno);
}

void ConnectProbe::complete()
{
    const std::error_code error = error_ ? error_ : connectError(descriptor_);
    const Callback callback = std::move(callback_);
    cancel();
    callback(error);
}

} // namespace Oleander
