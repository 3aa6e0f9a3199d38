#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Oleander::Testing {

/** Ways through a forwarder: from whoever dials it to its target, or back. */
enum class Direction { ToTarget, FromTarget };

/**
 * \class Forwarder
 * \brief Forwards TCP connections to a target, with a delay, and can be cut one way or both ways.
 *
 * A cut holds bytes back without closing anything, as a partition does; heal() lets them pass in
 * their order, as TCP would after a partition.
 */
class Forwarder
{
public:
    /** Listens on \a listen ("HOST:PORT", port 0 for any) and dials \a target. */
    Forwarder(const std::string &listen, std::string target);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    std::string address() const;
    void setDelay(std::chrono::microseconds oneWay);
    void cut(Direction direction);
    void cutBothDirections();
    void heal();
    /** Closes every connection; new ones are still taken. */
    void closeConnections();
    /** Bytes passed on so far, both ways. */
    std::uint64_t forwardedBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander::Testing
