#pragma once

#include "Runtime/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Oleander::Fleet {

/**
 * \class SettingsWatcher
 * \brief Calls back when a settings file may have changed: on SIGHUP, or when its time stamp or
 * size differs.
 */
class SettingsWatcher
{
public:
    SettingsWatcher(EventLoop &loop, std::string path, std::function<void()> changed);
    void start();

private:
    void checkFile();
    /** Returns a number computed from the modification time and size of the file, or 0 if it cannot
     * be read. */
    std::uint64_t fileStamp() const;

    EventLoop &loop_;
    std::string path_;
    std::function<void()> changed_;
    std::uint64_t lastStamp_ = 0;
    Timer timer_;
};

} // namespace Oleander::Fleet
