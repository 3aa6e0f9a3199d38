#pragma once

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace Oleander::Testing {

/**
 * \class DescriptorLimit
 * \brief While it exists, this process cannot open any further file descriptor.
 */
class DescriptorLimit
{
public:
    DescriptorLimit()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &previous_) == 0);
        // The kernel assigns the lowest free number.
        const int lowestFree = dup(STDERR_FILENO);
        REQUIRE(lowestFree >= 0);
        close(lowestFree);
        rlimit exhausted = previous_;
        exhausted.rlim_cur = static_cast<rlim_t>(lowestFree);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &previous_); }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit previous_{};
};

} // namespace Oleander::Testing
