#include "Fleet/settingswatcher.h"

#include <sys/stat.h>

#include <csignal>

namespace Oleander::Fleet {

namespace {

/** Interval of the checks; the platform may change the file without sending a signal. */
constexpr Duration CheckInterval = std::chrono::seconds(1);
constexpr std::uint64_t NanosecondsPerSecond = 1'000'000'000;

} // namespace

SettingsWatcher::SettingsWatcher(EventLoop &loop, std::string path, std::function<void()> changed)
    : loop_(loop)
    , path_(std::move(path))
    , changed_(std::move(changed))
    , timer_(loop, [this] { checkFile(); })
{}

void SettingsWatcher::start()
{
    lastStamp_ = fileStamp();
    timer_.startEvery(CheckInterval);
    loop_.onSignal(SIGHUP, [this] {
        lastStamp_ = fileStamp();
        changed_();
    });
}

void SettingsWatcher::checkFile()
{
    const std::uint64_t now = fileStamp();
    if (now == lastStamp_ || now == 0)
        return;
    lastStamp_ = now;
    changed_();
}

std::uint64_t SettingsWatcher::fileStamp() const
{
    struct stat status = {};
    if (stat(path_.c_str(), &status) != 0)
        return 0;
    const auto seconds = static_cast<std::uint64_t>(status.st_mtim.tv_sec);
    const auto nanoseconds = static_cast<std::uint64_t>(status.st_mtim.tv_nsec);
    return seconds * NanosecondsPerSecond + nanoseconds
           + static_cast<std::uint64_t>(status.st_size);
}

} // namespace Oleander::Fleet
