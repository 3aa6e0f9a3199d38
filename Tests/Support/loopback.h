#pragma once

#include <cstdint>
#include <string>

namespace Oleander::Testing {

/**
 * \class Loopback
 * \brief Hands out addresses of 127.0.0.0/8 that no other test program uses at the same time.
 *
 * Each process takes 127.a.b.1 upwards, with a and b from its process id, one host for each
 * stand-in host of a test; the system picks the ports.
 */
class Loopback
{
public:
    /** Next host number of this process, such as "127.17.4.1". */
    static std::string nextHost();
    /** A free "HOST:PORT" on \a host that this process has not handed out before. */
    static std::string freeAddress(const std::string &host);
};

} // namespace Oleander::Testing
