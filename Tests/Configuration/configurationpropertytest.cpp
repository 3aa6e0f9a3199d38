#include "Configuration/configurationexchange.h"
#include "Configuration/configurationgate.h"
#include "Placement/property.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace Oleander;

namespace {

constexpr Duration Lease = std::chrono::seconds(3);
constexpr int Entries = 3;
constexpr int Processes = 6;
constexpr int Steps = 150;

ConfigurationValues valuesOf(std::uint64_t version)
{
    return {{"version", std::to_string(version)}};
}

/** An entry or agent; a restart creates a new gate and a new incarnation. */
struct Process
{
    std::unique_ptr<ConfigurationGate> gate;
    std::unique_ptr<ConfigurationPuller> puller;
    std::uint64_t incarnation = 0;
    std::uint64_t highestInIncarnation = 0;
    /** Highest version under which the process has admitted work, across restarts. */
    std::uint64_t highestAdmitted = 0;
    bool cutFromQuorum = false;
};

struct Message
{
    int from = 0;
    int to = 0;
    /** Incarnations of the sender and of the intended receiver; 0 means any receiver. */
    std::uint64_t senderIncarnation = 0;
    std::uint64_t incarnation = 0;
    bool isPush = false;
    ConfigurationPull pull;
    ConfigurationPush push;
};

/** Entries and agents that exchange configurations over a network that drops, duplicates and
 * reorders messages. */
class Model
{
public:
    Model()
    {
        for (int i = 0; i < Processes; ++i) {
            processes_.emplace_back();
            restart(i);
        }
    }

    void step()
    {
        now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
        const int processIndex = *rc::gen::inRange(0, Processes);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            accept();
            break;
        case 1:
            if (*rc::gen::inRange(0, 2) == 0)
                restart(processIndex);
            break;
        case 2:
            processes_[static_cast<std::size_t>(processIndex)].cutFromQuorum =
                *rc::gen::inRange(0, 2) == 0;
            break;
        case 3:
        case 4:
            confirm(processIndex % Entries);
            break;
        case 5:
        case 6:
            sendPull(processIndex, *rc::gen::inRange(0, Entries));
            break;
        default:
            deliver();
        }
        check();
    }

    /** Ends all faults, then checks that every process reaches the latest version and admits work.
     */
    void heal()
    {
        messages_.clear();
        for (int i = 0; i < Entries; ++i) {
            at(i).cutFromQuorum = false;
            confirm(i);
        }
        for (int i = 0; i < Processes; ++i) {
            now_ += std::chrono::milliseconds(1);
            sendPull(i, 0);
            deliverAt(messages_.size() - 1);
            deliverAt(messages_.size() - 1);
        }
        for (int i = 0; i < Processes; ++i) {
            RC_ASSERT(at(i).gate->version() == accepted_.back().first);
            RC_ASSERT(at(i).gate->admitsWork(now_));
        }
    }

private:
    Process &at(int index) { return processes_[static_cast<std::size_t>(index)]; }

    void restart(int index)
    {
        Process &process = at(index);
        process.gate = std::make_unique<ConfigurationGate>(Lease, now_);
        process.puller = std::make_unique<ConfigurationPuller>(*process.gate);
        ++process.incarnation;
        process.highestInIncarnation = 0;
    }
    void accept() { accepted_.emplace_back(accepted_.back().first + 1, now_); }
    void confirm(int entry)
    {
        if (at(entry).cutFromQuorum)
            return;
        // A quorum read returns the latest accepted version and confirms it for its start time.
        const auto version = accepted_.back().first;
        at(entry).gate->update(version, valuesOf(version), now_);
    }
    void sendPull(int from, int to)
    {
        messages_.push_back(
            {from, to, at(from).incarnation, 0, false, at(from).puller->startPull(now_), {}});
    }
    void deliver()
    {
        if (messages_.empty())
            return;
        const auto index = *rc::gen::inRange<std::size_t>(0, messages_.size());
        const int outcome = *rc::gen::inRange(0, 8);
        if (outcome == 0) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
            return;
        }
        if (outcome == 1)
            messages_.push_back(messages_[index]);
        deliverAt(index);
    }
    void deliverAt(std::size_t index)
    {
        const Message message = messages_[index];
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        Process &to = at(message.to);
        if (message.incarnation != 0 && message.incarnation != to.incarnation)
            return;
        if (message.isPush) {
            to.puller->handlePush(message.push);
            return;
        }
        messages_.push_back({message.to,
                             message.from,
                             to.incarnation,
                             message.senderIncarnation,
                             true,
                             {},
                             makeConfigurationPush(message.pull, *to.gate, now_)});
    }
    void check()
    {
        for (Process &process : processes_) {
            const auto version = process.gate->version();
            RC_ASSERT(version >= process.highestInIncarnation);
            process.highestInIncarnation = version;
            if (version > 0)
                RC_ASSERT(process.gate->values() == valuesOf(version));
            if (!process.gate->admitsWork(now_))
                continue;
            RC_ASSERT(version >= process.highestAdmitted);
            process.highestAdmitted = version;
            for (const auto &[accepted, when] : accepted_)
                RC_ASSERT(when + Lease > now_ || version >= accepted);
        }
    }

    TimePoint now_{std::chrono::seconds(100)};
    std::vector<Process> processes_;
    std::vector<Message> messages_;
    /** Accepted versions with the times of their acceptance. */
    std::vector<std::pair<std::uint64_t, TimePoint>> accepted_{{1, now_}};
};

} // namespace

TEST_CASE("No process admits work under a version superseded for more than a lease, or falls back")
{
    const auto failure = Testing::propertyFailure(20261204, 1500, [] {
        Model model;
        for (int i = 0; i < Steps; ++i)
            model.step();
        model.heal();
    });
    INFO(failure);
    CHECK(failure.empty());
}
