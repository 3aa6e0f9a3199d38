#include "Fleet/settingswatch.h"

#include <sys/stat.h>

#include <csignal>

namespace Oleander::Fleet {

namespace {

/** The platform may change the file without a signal. */
constexpr Duration LookInterval = std::chrono::seconds(1);
constexpr std::uint64_t NanosecondsPerSecond = 1'000'000'000;

} // namespace

SettingsWatch::SettingsWatch(EventLoop &loop, std::string path, std::function<void()> changed)
    : loop_(loop)
    , path_(std::move(path))
    , changed_(std::move(changed))
    , timer_(loop, [this] { look(); })
{}

void SettingsWatch::start()
{
    stamp_ = stamp();
    timer_.startEvery(LookInterval);
    loop_.onSignal(SIGHUP, [this] {
        stamp_ = stamp();
        changed_();
    });
}

void SettingsWatch::look()
{
    const std::uint64_t now = stamp();
    if (now == stamp_ || now == 0)
        return;
    stamp_ = now;
    changed_();
}

std::uint64_t SettingsWatch::stamp() const
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
