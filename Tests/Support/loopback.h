#pragma once

#include <cstdint>
#include <string>

namespace Oleander::Testing {

/**
 * \class Loopback
 * \brief Hands out addresses of 127.0.0.0/8 that no other test program uses at the same time.
 *
 * The hosts are 127.a.b.1 and upwards, with a and b derived from the process id, one for each
 * simulated host of a test. The kernel assigns the ports.
 */
class Loopback
{
public:
    /** Next host address of this process, such as "127.17.4.1". */
    static std::string nextHost();
    /** A free "HOST:PORT" on \a host that this process has not handed out before. */
    static std::string freeAddress(const std::string &host);
};

} // namespace Oleander::Testing
