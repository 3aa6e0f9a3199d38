#pragma once

#include "Support/socket.h"

#include <poll.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Oleander::Testing {

/** What a client sends after it has connected, and how. It then leaves the connection open. */
struct ClientScript
{
    std::string head{};
    /** Sent \a repetitions times after the head. */
    std::string piece{};
    std::uint64_t repetitions = 0;
    std::string tail{};
    std::size_t bytesPerWrite = SIZE_MAX;
    /** Time between two writes. */
    std::chrono::milliseconds pause{0};
    /** If false, the client reads nothing, and its receive buffer is small. */
    bool reads = true;
};

/**
 * \class CrowdClient
 * \brief One client that sends a script over a non-blocking socket.
 */
class CrowdClient
{
public:
    using Time = std::chrono::steady_clock::time_point;

    CrowdClient(const std::string &address, const ClientScript *script);

    bool isOpen() const { return socket_.valid(); }
    /** The descriptor and the events that the client waits for. */
    pollfd wait(Time now) const;
    /** Handles the events \a ready; returns the number of bytes sent. */
    std::uint64_t advance(short ready, Time now);

private:
    /** Longest unsent part of the script that lies in one string. */
    std::string_view nextBytes() const;
    std::uint64_t send(Time now);

    const ClientScript *script_;
    Socket socket_;
    std::uint64_t sent_ = 0;
    Time nextWrite_{};
};

/**
 * \class Crowd
 * \brief Clients that send the same script at the same time, in a thread, until its destruction.
 */
class Crowd
{
public:
    Crowd(const std::string &address, ClientScript script, std::size_t clients);
    ~Crowd();
    Crowd(const Crowd &) = delete;

    std::uint64_t sentBytes() const { return sentBytes_; }

private:
    void run();

    ClientScript script_;
    std::vector<CrowdClient> clients_;
    std::atomic<std::uint64_t> sentBytes_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace Oleander::Testing
