#pragma once

#include <cstdint>
#include <string>

namespace Oleander::Testing {

/**
 * \class HostBlock
 * \brief The hosts 127.a.b.1 to 127.a.b.250 for one test program.
 *
 * The block is reserved by a socket that the processes started meanwhile inherit: they may outlive
 * a killed test program and still call its addresses.
 */
class HostBlock
{
public:
    static constexpr unsigned Hosts = 250;

    /** Reserves the first block from number \a first on that no other program holds. */
    explicit HostBlock(unsigned first);
    ~HostBlock();
    HostBlock(const HostBlock &) = delete;
    HostBlock &operator=(const HostBlock &) = delete;

    /** Address of the host \a number, from 0 to Hosts - 1. */
    std::string host(unsigned number) const { return prefix_ + std::to_string(1 + number); }

private:
    std::string prefix_;
    int reservation_ = -1;
};

/**
 * \class Loopback
 * \brief Hands out addresses of 127.0.0.0/8 that no other test program uses at the same time.
 *
 * Each simulated host of a test has a host of the program's blocks. The kernel assigns the ports.
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
