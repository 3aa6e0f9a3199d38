#pragma once

#include "Runtime/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Oleander::Fleet {

/**
 * \class SettingsWatch
 * \brief Tells when a settings file may have changed: on SIGHUP, or when the file looks different.
 */
class SettingsWatch
{
public:
    SettingsWatch(EventLoop &loop, std::string path, std::function<void()> changed);
    void start();

private:
    void look();
    /** Time of change and size of the file; 0 while it cannot be read. */
    std::uint64_t stamp() const;

    EventLoop &loop_;
    std::string path_;
    std::function<void()> changed_;
    std::uint64_t stamp_ = 0;
    Timer timer_;
};

} // namespace Oleander::Fleet
