#include "Support/loopback.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <set>
#include <stdexcept>

namespace Oleander::Testing {

namespace {

/** Returns "HOST:PORT" with a port that is free at the moment. */
std::string pickAddress(const std::string &host)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    const bool bound = bind(probe, reinterpret_cast<sockaddr *>(&address), size) == 0
                       && getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    close(probe);
    if (!bound)
        throw std::runtime_error("no free port on " + host);
    return host + ':' + std::to_string(ntohs(address.sin_port));
}

} // namespace

std::string Loopback::nextHost()
{
    static std::atomic<unsigned> lastNumber = 0;
    const auto process = static_cast<unsigned>(getpid());
    const unsigned number = ++lastNumber;
    // 127.0.x.x is left to programs other than tests.
    const unsigned a = 1 + (process / 250 + number / 250) % 254;
    const unsigned b = process % 250;
    return "127." + std::to_string(a) + '.' + std::to_string(b) + '.'
           + std::to_string(1 + number % 250);
}

std::string Loopback::freeAddress(const std::string &host)
{
    // The kernel may assign a port again after pickAddress() has closed its socket.
    static std::mutex mutex;
    static std::set<std::string> handedOut;
    const std::lock_guard lock(mutex);
    for (;;) {
        std::string address = pickAddress(host);
        if (handedOut.insert(address).second)
            return address;
    }
}

} // namespace Oleander::Testing
