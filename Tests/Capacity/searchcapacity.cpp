// Queries that reach a seed while SIZE processes search the leader at once and no seed knows it,
// and what they cost a real control host without a data folder, which is the other seed.

#include "Fleet/leaderclient.h"
#include "Runtime/log.h"
#include "Support/childprocess.h"
#include "Support/loopback.h"
#include "Support/processusage.h"
#include "Support/temporaryfolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <vector>

using namespace Oleander;

namespace {

constexpr std::size_t WindowsPerSecond = 20;
constexpr std::size_t SearchSeconds = 8;
constexpr auto Window = std::chrono::milliseconds(1000 / WindowsPerSecond);

struct Searcher
{
    Messenger messenger;
    Fleet::LeaderClient client;

    Searcher(EventLoop &loop, std::size_t number, const std::vector<std::string> &seeds)
        : messenger(loop, fmt::format("agent-{}", number), 1), client(loop, messenger, seeds)
    {
        client.start();
    }
};

void print(std::string_view name, std::size_t size, double value, std::string_view unit)
{
    fmt::print("capacity {} {} {:.4g} {}\n", name, size, value, unit);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        fmt::print(stderr, "usage: capacity-search SIZE\n");
        return 2;
    }
    processLog().setMinimumLevel(LogLevel::Error);
    const std::size_t size = std::strtoul(argv[1], nullptr, 10);
    const std::string realHost = Testing::Loopback::nextHost();
    const std::string countingHost = Testing::Loopback::nextHost();
    const std::string realSeed = Testing::Loopback::freeAddress(realHost);
    const std::string port = realSeed.substr(realSeed.find(':') + 1);
    const std::string countingSeed = countingHost + ':' + port;
    Testing::TemporaryFolder folder;
    const std::string path = folder.write(
        "control.ini", "[control-host]\nlink = " + realSeed
                           + "\noperator-door = " + Testing::Loopback::freeAddress(realHost)
                           + "\nmetrics-door = " + Testing::Loopback::freeAddress(realHost)
                           + "\ntolerated-losses = 1\n[group]\nseeds = " + realSeed
                           + "\nlink-port = " + port + '\n');
    Testing::ChildProcess seed({OLEANDER_PROGRAM, "control", path});

    EventLoop loop;
    Messenger counting(loop, countingSeed, 1);
    if (!counting.listen(countingSeed)) {
        fmt::print(stderr, "the seed cannot listen at {}\n", countingSeed);
        return 1;
    }
    std::vector<std::size_t> calls(1);
    counting.on<GroupQuery>([&](const Sender &from, GroupQuery &&) {
        ++calls.back();
        static_cast<void>(counting.send(from.name, GroupView{}));
    });

    std::vector<std::unique_ptr<Searcher>> searchers;
    const TimePoint start = loop.clock().now();
    Timer windows(loop, [&] {
        const auto reached = static_cast<std::size_t>((loop.clock().now() - start) / Window);
        if (reached >= SearchSeconds * WindowsPerSecond)
            loop.stop();
        else
            calls.resize(std::max(calls.size(), reached + 1));
    });
    windows.startEvery(std::chrono::milliseconds(5));
    loop.post([&] {
        for (std::size_t i = 0; i < size; ++i)
            searchers.push_back(
                std::make_unique<Searcher>(loop, i, std::vector{realSeed, countingSeed}));
    });
    loop.run();

    std::size_t worst = 0;
    std::size_t total = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        total += calls[i];
        std::size_t second = 0;
        for (std::size_t j = i; j < std::min(calls.size(), i + WindowsPerSecond); ++j)
            second += calls[j];
        worst = std::max(worst, second);
    }
    std::size_t last = 0;
    for (std::size_t i = calls.size() - std::min(calls.size(), 2 * WindowsPerSecond);
         i < calls.size(); ++i)
        last += calls[i];
    const auto usage = Testing::usageOf(seed.id());
    print("search.worst-second", size, static_cast<double>(worst), "calls");
    print("search.later-second", size, static_cast<double>(last) / 2, "calls");
    print("search.total", size, static_cast<double>(total), "calls");
    print("search.seed.processor", size, 100 * usage.processorSeconds / SearchSeconds, "%");
    print("search.seed.memory", size, static_cast<double>(usage.residentBytes) / 1e6, "MB");
    return 0;
}
