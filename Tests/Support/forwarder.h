#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Oleander::Testing {

/** Direction of forwarded bytes: from the connecting peer to the target, or back. */
enum class Direction { ToTarget, FromTarget };

/**
 * \class Forwarder
 * \brief Forwards TCP connections to a target; can delay bytes and cut either direction.
 *
 * A cut simulates a network partition: bytes are held back and connections stay open. After heal()
 * the bytes are delivered in order, as TCP does when it retransmits after a partition.
 */
class Forwarder
{
public:
    /** Listens on a free port of \a host and connects to \a target. */
    Forwarder(const std::string &host, std::string target);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    std::string address() const;
    void setDelay(std::chrono::microseconds oneWay);
    void cut(Direction direction);
    void cutBothDirections();
    void heal();
    /** Closes every connection; new ones are still accepted. */
    void closeConnections();
    /** Bytes forwarded so far in both directions. */
    std::uint64_t forwardedBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander::Testing
