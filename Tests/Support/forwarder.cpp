#include "Support/forwarder.h"

#include "Support/loopback.h"
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

constexpr std::size_t MaxQueuedBytes = std::size_t{8} * 1024 * 1024;
constexpr timespec MaxPollTimeout{0, 20'000'000};

/** Bytes that were received and are sent on at \a due. */
struct QueuedChunk
{
    SteadyClock::time_point due;
    std::string bytes;
};

/** One direction of one connection. */
struct Pipe
{
    std::deque<QueuedChunk> queue;
    std::size_t queuedBytes = 0;
    bool sourceClosed = false;
    bool endForwarded = false;
};

struct Connection
{
    // Index 0: the connecting peer and the direction from it; index 1: the same for the target.
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
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;

    void run();
    void acceptOne();
    void readFrom(Connection &connection, std::size_t direction);
    void writeDue(Connection &connection, std::size_t direction, SteadyClock::time_point now);
    timespec pollTimeout(SteadyClock::time_point now) const;
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

void Forwarder::Private::readFrom(Connection &connection, std::size_t direction)
{
    char buffer[65536];
    auto &pipe = connection.pipes.at(direction);
    const ssize_t count =
        recv(connection.ends.at(direction).descriptor(), buffer, sizeof(buffer), 0);
    if (count < 0 && errno != EAGAIN)
        connection.broken = true;
    if (count == 0)
        pipe.sourceClosed = true;
    if (count <= 0)
        return;
    const auto due = SteadyClock::now() + std::chrono::microseconds(delayMicroseconds);
    pipe.queue.push_back({due, std::string(buffer, static_cast<std::size_t>(count))});
    pipe.queuedBytes += static_cast<std::size_t>(count);
}

void Forwarder::Private::writeDue(Connection &connection, std::size_t direction,
                                  SteadyClock::time_point now)
{
    auto &pipe = connection.pipes.at(direction);
    const auto &receiver = connection.ends.at(1 - direction);
    while (!isCut.at(direction) && !pipe.queue.empty() && pipe.queue.front().due <= now) {
        auto &bytes = pipe.queue.front().bytes;
        const ssize_t count = send(receiver.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            connection.broken = connection.broken || errno != EAGAIN;
            return;
        }
        pipe.queuedBytes -= static_cast<std::size_t>(count);
        forwarded += static_cast<std::uint64_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
            return;
        pipe.queue.pop_front();
    }
    if (pipe.sourceClosed && pipe.queue.empty() && !isCut.at(direction) && !pipe.endForwarded) {
        shutdown(receiver.descriptor(), SHUT_WR);
        pipe.endForwarded = true;
    }
}

timespec Forwarder::Private::pollTimeout(SteadyClock::time_point now) const
{
    auto pause = std::chrono::nanoseconds(MaxPollTimeout.tv_nsec);
    for (const auto &connection : connections) {
        for (std::size_t direction = 0; direction < 2; ++direction) {
            const auto &queue = connection.pipes.at(direction).queue;
            if (queue.empty() || isCut.at(direction))
                continue;
            pause = std::min(pause, std::max<std::chrono::nanoseconds>(
                                        queue.front().due - now, std::chrono::nanoseconds(0)));
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
            for (std::size_t direction = 0; direction < 2; ++direction) {
                const auto &pipe = connection.pipes.at(direction);
                if (pipe.sourceClosed || pipe.queuedBytes > MaxQueuedBytes)
                    continue;
                waits.push_back({connection.ends.at(direction).descriptor(), POLLIN, 0});
                readers.emplace_back(&connection, direction);
            }
        }
        const timespec pause = pollTimeout(SteadyClock::now());
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
                   || (connection.pipes[0].endForwarded && connection.pipes[1].endForwarded);
        });
    }
}

Forwarder::Forwarder(const std::string &host, std::string target)
    : private_(std::make_unique<Private>())
{
    // The kernel alone could assign a port that is handed out to a process but not in use yet.
    const std::string listen = Loopback::freeAddress(host);
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

void Forwarder::cut(Direction direction)
{
    private_->isCut.at(direction == Direction::ToTarget ? 0 : 1) = true;
}

void Forwarder::cutBothDirections()
{
    cut(Direction::ToTarget);
    cut(Direction::FromTarget);
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

std::uint64_t Forwarder::forwardedBytes() const
{
    return private_->forwarded;
}

} // namespace Oleander::Testing
