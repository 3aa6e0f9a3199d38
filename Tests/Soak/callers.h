#pragma once

#include "Soak/checks.h"
#include "Soak/plan.h"
#include "Support/httpcall.h"
#include "Support/socket.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Oleander::Testing {

/**
 * \class CallerConnection
 * \brief A caller's connection to one entry, used again until the entry closes it.
 */
class CallerConnection
{
public:
    explicit CallerConnection(std::string address) : address_(std::move(address)) {}

    /** Sends one request, over a new connection if none is open; \a reply is set if answered. */
    CallEnd call(const HttpCall &call, HttpReply &reply);

private:
    CallEnd receive(HttpReply &reply);

    std::string address_;
    Socket socket_;
};

/** An entry and the address of its door for callers. */
struct SoakDoor
{
    std::string entry;
    std::string address;
};

/**
 * \class Callers
 * \brief Threads that call the service through every entry until stop().
 *
 * Each caller sends idempotent and non-idempotent requests, and requests with a key that it resends
 * through other entries.
 */
class Callers
{
public:
    Callers(const SoakPlan &plan, std::vector<SoakDoor> doors);
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** Number of completed calls. */
    std::uint64_t completed() const { return completed_; }
    void endGracefulPart() { isGracefulPart_ = false; }
    /** Waits for the calls in flight and ends the threads. */
    void stop();
    /** All calls so far. */
    std::vector<CallRecord> records() const;

private:
    struct Request;

    void run(std::size_t caller);
    Request drawRequest(const std::string &name, SoakRandom &random) const;
    CallRecord send(const Request &request, std::size_t resend, std::size_t door,
                    CallerConnection &connection);

    const SoakPlan &plan_;
    std::vector<SoakDoor> doors_;
    std::atomic<std::uint64_t> completed_ = 0;
    std::atomic<bool> isGracefulPart_ = true;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<CallRecord> records_;
    std::vector<std::thread> threads_;
};

} // namespace Oleander::Testing
