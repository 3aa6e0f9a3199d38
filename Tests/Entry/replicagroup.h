#pragma once

#include "Entry/replicatask.h"
#include "Runtime/messenger.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** State machine that appends its commands to a list. */
class CommandList final : public StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override
    {
        commands_ += std::string(command) + "\n";
        ++count_;
        return std::to_string(index);
    }
    std::string snapshot() const override { return commands_; }
    Result<void> restore(std::string_view bytes) override
    {
        commands_ = bytes;
        count_ = static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
        return {};
    }

    const std::string &commands() const { return commands_; }
    std::size_t count() const { return count_; }

private:
    std::string commands_;
    std::size_t count_ = 0;
};

/** Replicas in this process that use real network connections and data folders. */
class ReplicaGroup
{
public:
    struct Member
    {
        std::unique_ptr<Messenger> messenger;
        CommandList machine;
        std::unique_ptr<ReplicaTask> task;
    };

    explicit ReplicaGroup(std::vector<std::string> names) : names_(std::move(names))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "oleander-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        root_ = pattern;
        for (const std::string &name : names_)
            start(name, true);
    }
    ~ReplicaGroup()
    {
        members_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(root_, ignored);
    }
    ReplicaGroup(const ReplicaGroup &) = delete;
    ReplicaGroup &operator=(const ReplicaGroup &) = delete;

    std::string folder(const std::string &name) const { return root_ + "/" + name; }
    ReplicaTask &task(const std::string &name) { return *members_.at(name).task; }
    CommandList &machine(const std::string &name) { return members_.at(name).machine; }
    EventLoop &loop() { return loop_; }

    void start(const std::string &name, bool withFolder)
    {
        Member &member = members_[name];
        member.messenger = std::make_unique<Messenger>(loop_, name, ++incarnation_);
        const auto address = member.messenger->listen("127.0.0.1:0");
        REQUIRE(address.has_value());
        addresses_[name] = *address;
        for (auto &[other, running] : members_) {
            if (!running.messenger)
                continue;
            running.messenger->addPeer(name, *address);
            if (other != name)
                member.messenger->addPeer(other, addresses_.at(other));
        }
        ReplicaTaskOptions options = options_;
        options.name = name;
        options.folder = withFolder ? folder(name) : std::string();
        options.replicas = names_;
        member.task =
            std::make_unique<ReplicaTask>(loop_, *member.messenger, member.machine, options);
        const auto started = member.task->start();
        INFO((started ? std::string() : started.error().text()));
        REQUIRE(started.has_value());
    }
    void stop(const std::string &name)
    {
        Member &member = members_.at(name);
        member.task.reset();
        member.messenger.reset();
        member.machine = CommandList();
    }

    /** Runs the loop until \a condition holds, for at most 60 s; returns whether it holds. */
    bool runUntil(const std::function<bool()> &condition)
    {
        bool isMet = false;
        Timer poll(loop_, [&] {
            isMet = condition();
            if (isMet)
                loop_.stop();
        });
        Timer limit(loop_, [&] { loop_.stop(); });
        poll.startEvery(std::chrono::milliseconds(2));
        limit.startOnce(std::chrono::seconds(60));
        loop_.run();
        return isMet;
    }

    /** Proposes through \a name and waits for the outcome. */
    Result<std::string> commit(const std::string &name, const std::string &command)
    {
        std::optional<Result<std::string>> outcome;
        task(name).propose(command, [&](const Result<std::string> &result) { outcome = result; });
        REQUIRE(runUntil([&] { return outcome.has_value(); }));
        return *outcome;
    }
    std::string leader()
    {
        for (auto &[name, member] : members_) {
            if (member.task && member.task->isLeader())
                return name;
        }
        return {};
    }
    ReplicaTaskOptions &options() { return options_; }

private:
    EventLoop loop_;
    std::vector<std::string> names_;
    std::string root_;
    std::uint64_t incarnation_ = 0;
    std::map<std::string, std::string> addresses_;
    std::map<std::string, Member> members_;
    ReplicaTaskOptions options_;
};

} // namespace Oleander
