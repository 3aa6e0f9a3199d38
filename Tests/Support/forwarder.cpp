#include "Support/forwarder.h"

#include "Support/socket.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <deque>
#include <list>
#include <stdexcept>
#include <thread>
#include <vector>

namespace Oleander::Testing {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t MaxHeldBytes = std::size_t{8} * 1024 * 1024;
constexpr timespec LongestPause{0, 20'000'000};

/** Bytes that wait for their time to go on. */
struct Held
{
    SteadyClock::time_point due;
    std::string bytes;
};

/** One way of one connection. */
struct Pipe
{
    std::deque<Held> held;
    std::size_t heldBytes = 0;
    bool sourceClosed = false;
    bool endPassedOn = false;
};

struct Connection
{
    // Index 0: from the dialer to the target; index 1: back.
    std::array<Socket, 2> ends;
    std::array<Pipe, 2> pipes;
    bool broken = false;
};

void setNonBlocking(const Socket &socket)
{
    fcntl(socket.descriptor(), F_SETFL, O_NONBLOCK);
}

} // namespace

struct Forwarder::Private
{
    std::string target;
    Socket listener;
    std::list<Connection> connections;
    std::atomic<std::int64_t> delayMicroseconds = 0;
    std::array<std::atomic<bool>, 2> isCut = {};
    std::atomic<bool> closeAll = false;
    std::atomic<std::uint64_t> passed = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;

    void run();
    void acceptOne();
    void readFrom(Connection &connection, std::size_t way);
    void writeDue(Connection &connection, std::size_t way, SteadyClock::time_point now);
    timespec pauseUntilDue(SteadyClock::time_point now) const;
};

void Forwarder::Private::acceptOne()
{
    Socket dialer(accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    Socket peer = Socket::connectedTo(target);
    if (!dialer.valid() || !peer.valid())
        return;
    setNonBlocking(dialer);
    setNonBlocking(peer);
    auto &connection = connections.emplace_back();
    connection.ends = {std::move(dialer), std::move(peer)};
}

void Forwarder::Private::readFrom(Connection &connection, std::size_t way)
{
    char buffer[65536];
    auto &pipe = connection.pipes.at(way);
    const ssize_t count = recv(connection.ends.at(way).descriptor(), buffer, sizeof(buffer), 0);
    if (count < 0 && errno != EAGAIN)
        connection.broken = true;
    if (count == 0)
        pipe.sourceClosed = true;
    if (count <= 0)
        return;
    const auto due = SteadyClock::now() + std::chrono::microseconds(delayMicroseconds);
    pipe.held.push_back({due, std::string(buffer, static_cast<std::size_t>(count))});
    pipe.heldBytes += static_cast<std::size_t>(count);
}

void Forwarder::Private::writeDue(Connection &connection, std::size_t way,
                                  SteadyClock::time_point now)
{
    auto &pipe = connection.pipes.at(way);
    const auto &receiver = connection.ends.at(1 - way);
    while (!isCut.at(way) && !pipe.held.empty() && pipe.held.front().due <= now) {
        auto &bytes = pipe.held.front().bytes;
        const ssize_t count = send(receiver.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            connection.broken = connection.broken || errno != EAGAIN;
            return;
        }
        pipe.heldBytes -= static_cast<std::size_t>(count);
        passed += static_cast<std::uint64_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
            return;
        pipe.held.pop_front();
    }
    if (pipe.sourceClosed && pipe.held.empty() && !isCut.at(way) && !pipe.endPassedOn) {
        shutdown(receiver.descriptor(), SHUT_WR);
        pipe.endPassedOn = true;
    }
}

timespec Forwarder::Private::pauseUntilDue(SteadyClock::time_point now) const
{
    auto pause = std::chrono::nanoseconds(LongestPause.tv_nsec);
    for (const auto &connection : connections) {
        for (std::size_t way = 0; way < 2; ++way) {
            const auto &held = connection.pipes.at(way).held;
            if (held.empty() || isCut.at(way))
                continue;
            pause = std::min(pause, std::max<std::chrono::nanoseconds>(
                                        held.front().due - now, std::chrono::nanoseconds(0)));
        }
    }
    return {0, pause.count()};
}

void Forwarder::Private::run()
{
    while (!stopping) {
        std::vector<pollfd> waits = {{listener.descriptor(), POLLIN, 0}};
        std::vector<std::pair<Connection *, std::size_t>> readers;
        for (auto &connection : connections) {
            for (std::size_t way = 0; way < 2; ++way) {
                const auto &pipe = connection.pipes.at(way);
                if (pipe.sourceClosed || pipe.heldBytes > MaxHeldBytes)
                    continue;
                waits.push_back({connection.ends.at(way).descriptor(), POLLIN, 0});
                readers.emplace_back(&connection, way);
            }
        }
        const timespec pause = pauseUntilDue(SteadyClock::now());
        ppoll(waits.data(), waits.size(), &pause, nullptr);
        if (closeAll.exchange(false))
            connections.clear();
        else {
            for (std::size_t i = 0; i < readers.size(); ++i) {
                if (waits[i + 1].revents != 0)
                    readFrom(*readers[i].first, readers[i].second);
            }
        }
        if (waits[0].revents != 0)
            acceptOne();
        const auto now = SteadyClock::now();
        for (auto &connection : connections) {
            writeDue(connection, 0, now);
            writeDue(connection, 1, now);
        }
        connections.remove_if([](const Connection &connection) {
            return connection.broken
                   || (connection.pipes[0].endPassedOn && connection.pipes[1].endPassedOn);
        });
    }
}

Forwarder::Forwarder(const std::string &listen, std::string target)
    : private_(std::make_unique<Private>())
{
    private_->target = std::move(target);
    private_->listener = Socket::listeningOn(listen);
    if (!private_->listener.valid())
        throw std::runtime_error("the forwarder cannot listen on " + listen);
    private_->thread = std::thread([this] { private_->run(); });
}

Forwarder::~Forwarder()
{
    private_->stopping = true;
    private_->thread.join();
}

std::string Forwarder::address() const
{
    return private_->listener.address();
}

void Forwarder::setDelay(std::chrono::microseconds oneWay)
{
    private_->delayMicroseconds = oneWay.count();
}

void Forwarder::cut(Way way)
{
    private_->isCut.at(way == Way::ToTarget ? 0 : 1) = true;
}

void Forwarder::cutBothWays()
{
    cut(Way::ToTarget);
    cut(Way::FromTarget);
}

void Forwarder::heal()
{
    private_->isCut[0] = false;
    private_->isCut[1] = false;
}

void Forwarder::closeConnections()
{
    private_->closeAll = true;
}

std::uint64_t Forwarder::bytes() const
{
    return private_->passed;
}

} // namespace Oleander::Testing
