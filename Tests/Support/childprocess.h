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
 * \brief A process started by a test; the destructor kills and reaps it.
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
    /** Sends SIGKILL and reaps the process. */
    void kill();
    /** Stops the process with SIGSTOP, which simulates a stalled host. */
    void freeze();
    /** Continues a frozen process. */
    void resume();
    /** Waits until the process ends; returns std::nullopt if it still runs after \a limit. */
    std::optional<ProcessEnd> wait(std::chrono::milliseconds limit = std::chrono::seconds(60));
    std::string standardOutput() const;
    std::string standardError() const;
    /** Returns whether the process runs or how it ended, and the content of both streams. */
    std::string describe();

private:
    bool reap(int options);

    pid_t id_ = -1;
    std::optional<ProcessEnd> end_;
    int outputFile_ = -1;
    int errorFile_ = -1;
};

/** Exit code and output of a finished command. */
struct CommandResult
{
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** Runs \a command until it ends, or kills it after \a limit and returns exit code -1. */
CommandResult runCommand(std::vector<std::string> command, const std::string &input = {},
                         std::chrono::milliseconds limit = std::chrono::seconds(60));

} // namespace Oleander::Testing
