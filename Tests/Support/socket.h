#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace Oleander::Testing {

/**
 * \class Socket
 * \brief Owns one TCP socket.
 */
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    ~Socket();
    Socket(Socket &&other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    Socket &operator=(Socket &&other) noexcept;

    /** Connects to "HOST:PORT"; the socket is not valid when that fails. */
    static Socket connectedTo(const std::string &address);
    /** Starts to connect a non-blocking socket. A small \a receiveBuffer keeps most of what is not
     * read in the memory of the peer; 0 leaves the size to the system. */
    static Socket connectingTo(const std::string &address, int receiveBuffer = 0);
    /** Listens on "HOST:PORT"; the socket is not valid when that fails. */
    static Socket listeningOn(const std::string &address);

    bool valid() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }
    bool sendAll(std::string_view bytes) const;
    /** Local address, "HOST:PORT". */
    std::string address() const;

private:
    int descriptor_ = -1;
};

} // namespace Oleander::Testing
