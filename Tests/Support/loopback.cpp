#include "Support/loopback.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <vector>

namespace Oleander::Testing {

namespace {

constexpr unsigned BlocksPerNet = 250;
constexpr unsigned Blocks = 254 * BlocksPerNet;
/** Host of a block that is not handed out. */
const std::string ReservedHost = "254";
/** Below the ports that the kernel assigns. */
constexpr std::uint16_t ReservedPort = 20'000;

/** Returns a socket bound to \a port of \a host, or -1. Without SO_REUSEADDR, as several sockets
 * may be bound to a port with it. */
int boundSocket(const std::string &host, std::uint16_t port, int flags)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | flags, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

/** Returns "HOST:PORT" with a port that is free at the moment. */
std::string pickAddress(const std::string &host)
{
    const int probe = boundSocket(host, 0, SOCK_CLOEXEC);
    if (probe < 0)
        throw std::runtime_error("no free port on " + host);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
    close(probe);
    return host + ':' + std::to_string(ntohs(address.sin_port));
}

} // namespace

HostBlock::HostBlock(unsigned first)
{
    for (unsigned i = 0; i < Blocks; ++i) {
        const unsigned number = (first + i) % Blocks;
        // 127.0.x.x is left to programs other than tests.
        prefix_ = "127." + std::to_string(1 + number / BlocksPerNet) + '.'
                  + std::to_string(number % BlocksPerNet) + '.';
        reservation_ = boundSocket(prefix_ + ReservedHost, ReservedPort, 0);
        if (reservation_ >= 0)
            return;
    }
    throw std::runtime_error("no free hosts on 127.0.0.0/8");
}

HostBlock::~HostBlock()
{
    close(reservation_);
}

std::string Loopback::nextHost()
{
    static std::mutex mutex;
    static std::vector<std::unique_ptr<HostBlock>> blocks;
    static unsigned count = 0;
    const std::lock_guard lock(mutex);
    if (count % HostBlock::Hosts == 0)
        blocks.push_back(std::make_unique<HostBlock>(static_cast<unsigned>(getpid())));
    return blocks.back()->host(count++ % HostBlock::Hosts);
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
