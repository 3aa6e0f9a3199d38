#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** How a process ended: by exit code, or by the signal that killed it. */
struct ProcessEnd
{
    int exitCode = -1;
    int signal = 0;
};

/**
 * \class ChildProcess
 * \brief One real process that a test started; killed and reaped by its id when it goes.
 *
 * Its standard output and standard error go to files that can be read at any time.
 */
class ChildProcess
{
public:
    /** Starts \a command, whose first word is the path of the program. */
    explicit ChildProcess(std::vector<std::string> command, const std::string &input = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const { return id_; }
    bool running();
    void signal(int number);
    /** Kills the process at once and reaps it. */
    void kill();
    /** Freezes the process, as a stalled host would. */
    void freeze();
    void resume();
    /** Waits until the process ends; nothing when it still runs at the limit. */
    std::optional<ProcessEnd> wait(std::chrono::milliseconds limit = std::chrono::seconds(60));
    std::string standardOutput() const;
    std::string standardError() const;
    /** Says whether the process runs or how it ended, and what it wrote on both streams. */
    std::string describe();

private:
    bool reap(int options);

    pid_t id_ = -1;
    std::optional<ProcessEnd> end_;
    int outputFile_ = -1;
    int errorFile_ = -1;
};

/** What a command that ran to its end printed. */
struct CommandResult
{
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** Runs \a command to its end, or kills it at the limit and gives exit code -1. */
CommandResult runCommand(std::vector<std::string> command, const std::string &input = {},
                         std::chrono::milliseconds limit = std::chrono::seconds(60));

} // namespace Oleander::Testing
