#pragma once

#include "Runtime/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Oleander::Fleet {

/**
 * \class SettingsWatcher
 * \brief Tells when a settings file may have changed: on SIGHUP, or when the file looks different.
 */
class SettingsWatcher
{
public:
    SettingsWatcher(EventLoop &loop, std::string path, std::function<void()> changed);
    void start();

private:
    void checkFile();
    /** Time of change and size of the file; 0 while it cannot be read. */
    std::uint64_t fileStamp() const;

    EventLoop &loop_;
    std::string path_;
    std::function<void()> changed_;
    std::uint64_t lastStamp_ = 0;
    Timer timer_;
};

} // namespace Oleander::Fleet
