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

/** One entry or agent; a restart makes a new gate and a new incarnation. */
struct Process
{
    std::unique_ptr<ConfigurationGate> gate;
    std::unique_ptr<ConfigurationQuestions> questions;
    std::uint64_t incarnation = 0;
    std::uint64_t highestInIncarnation = 0;
    /** Highest version under which the process ever admitted work. */
    std::uint64_t highestAdmitted = 0;
    bool cutFromQuorum = false;
};

struct Letter
{
    int from = 0;
    int to = 0;
    /** Incarnation of the sender, and the one for which the letter is meant; 0 means any. */
    std::uint64_t senderIncarnation = 0;
    std::uint64_t incarnation = 0;
    bool isAnswer = false;
    ConfigurationPull question;
    ConfigurationPush answer;
};

/** Entries and agents that exchange configurations over a network that does what it likes. */
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
        const int who = *rc::gen::inRange(0, Processes);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            accept();
            break;
        case 1:
            if (*rc::gen::inRange(0, 2) == 0)
                restart(who);
            break;
        case 2:
            processes_[static_cast<std::size_t>(who)].cutFromQuorum = *rc::gen::inRange(0, 2) == 0;
            break;
        case 3:
        case 4:
            confirm(who % Entries);
            break;
        case 5:
        case 6:
            ask(who, *rc::gen::inRange(0, Entries));
            break;
        default:
            deliver();
        }
        check();
    }

    /** Lets every cut heal and every message through. */
    void heal()
    {
        letters_.clear();
        for (int i = 0; i < Entries; ++i) {
            at(i).cutFromQuorum = false;
            confirm(i);
        }
        for (int i = 0; i < Processes; ++i) {
            now_ += std::chrono::milliseconds(1);
            ask(i, 0);
            deliverAt(letters_.size() - 1);
            deliverAt(letters_.size() - 1);
        }
        for (int i = 0; i < Processes; ++i) {
            RC_ASSERT(at(i).gate->version() == accepted_.back().first);
            RC_ASSERT(at(i).gate->admits(now_));
        }
    }

private:
    Process &at(int index) { return processes_[static_cast<std::size_t>(index)]; }

    void restart(int index)
    {
        Process &process = at(index);
        process.gate = std::make_unique<ConfigurationGate>(Lease, now_);
        process.questions = std::make_unique<ConfigurationQuestions>(*process.gate);
        ++process.incarnation;
        process.highestInIncarnation = 0;
    }
    void accept() { accepted_.emplace_back(accepted_.back().first + 1, now_); }
    void confirm(int entry)
    {
        if (at(entry).cutFromQuorum)
            return;
        // The read began a little earlier and sees whatever was accepted since.
        const auto version = accepted_.back().first;
        at(entry).gate->offer(version, valuesOf(version), now_);
    }
    void ask(int from, int to)
    {
        letters_.push_back(
            {from, to, at(from).incarnation, 0, false, at(from).questions->ask(now_), {}});
    }
    void deliver()
    {
        if (letters_.empty())
            return;
        const auto index = *rc::gen::inRange<std::size_t>(0, letters_.size());
        const int fate = *rc::gen::inRange(0, 8);
        if (fate == 0) {
            letters_.erase(letters_.begin() + static_cast<std::ptrdiff_t>(index));
            return;
        }
        if (fate == 1)
            letters_.push_back(letters_[index]);
        deliverAt(index);
    }
    void deliverAt(std::size_t index)
    {
        const Letter letter = letters_[index];
        letters_.erase(letters_.begin() + static_cast<std::ptrdiff_t>(index));
        Process &to = at(letter.to);
        if (letter.incarnation != 0 && letter.incarnation != to.incarnation)
            return;
        if (letter.isAnswer) {
            to.questions->take(letter.answer);
            return;
        }
        letters_.push_back({letter.to,
                            letter.from,
                            to.incarnation,
                            letter.senderIncarnation,
                            true,
                            {},
                            answerTo(letter.question, *to.gate, now_)});
    }
    void check()
    {
        for (Process &process : processes_) {
            const auto version = process.gate->version();
            RC_ASSERT(version >= process.highestInIncarnation);
            process.highestInIncarnation = version;
            if (version > 0)
                RC_ASSERT(process.gate->values() == valuesOf(version));
            if (!process.gate->admits(now_))
                continue;
            RC_ASSERT(version >= process.highestAdmitted);
            process.highestAdmitted = version;
            for (const auto &[accepted, when] : accepted_)
                RC_ASSERT(when + Lease > now_ || version >= accepted);
        }
    }

    TimePoint now_{std::chrono::seconds(100)};
    std::vector<Process> processes_;
    std::vector<Letter> letters_;
    /** Accepted versions with the times of their acceptance. */
    std::vector<std::pair<std::uint64_t, TimePoint>> accepted_{{1, now_}};
};

} // namespace

TEST_CASE("No process admits work under a configuration older than the lease, nor falls back")
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
