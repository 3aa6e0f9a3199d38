#include "Support/childprocess.h"

#include "Support/waitfor.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace Oleander::Testing {

namespace {

/** Opens an unnamed file, which the system removes with its last descriptor. */
int anonymousFile()
{
    const int file = open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
    if (file < 0)
        throw std::runtime_error("cannot create a temporary file in /tmp");
    return file;
}

void writeAll(int file, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
        if (count <= 0)
            throw std::runtime_error("cannot write to a temporary file");
        written += static_cast<std::size_t>(count);
    }
    lseek(file, 0, SEEK_SET);
}

std::string contentOf(int file)
{
    struct stat status
    {};
    fstat(file, &status);
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    const ssize_t count = pread(file, bytes.data(), bytes.size(), 0);
    bytes.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return bytes;
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string &input)
    : outputFile_(anonymousFile()), errorFile_(anonymousFile())
{
    const int inputFile = anonymousFile();
    writeAll(inputFile, input);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (auto &word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, inputFile, STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, outputFile_, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errorFile_, STDERR_FILENO);
    const int failure =
        posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(inputFile);
    if (failure != 0)
        throw std::runtime_error("cannot start the program " + command[0]);
}

ChildProcess::~ChildProcess()
{
    kill();
    close(outputFile_);
    close(errorFile_);
}

bool ChildProcess::running()
{
    return !reap(WNOHANG);
}

void ChildProcess::signal(int number)
{
    if (running())
        ::kill(id_, number);
}

void ChildProcess::kill()
{
    if (!running())
        return;
    ::kill(id_, SIGKILL);
    reap(0);
}

void ChildProcess::freeze()
{
    signal(SIGSTOP);
}

void ChildProcess::resume()
{
    signal(SIGCONT);
}

std::optional<ProcessEnd> ChildProcess::wait(std::chrono::milliseconds limit)
{
    waitFor([this] { return !running(); }, limit);
    return end_;
}

std::string ChildProcess::standardOutput() const
{
    return contentOf(outputFile_);
}

std::string ChildProcess::standardError() const
{
    return contentOf(errorFile_);
}

std::string ChildProcess::describe()
{
    std::string text = "runs";
    if (!running()) {
        text = end_->signal != 0 ? "was killed by signal " + std::to_string(end_->signal)
                                 : "ended with exit code " + std::to_string(end_->exitCode);
    }
    return text + "; standard output:\n" + standardOutput() + "\nstandard error:\n"
           + standardError();
}

bool ChildProcess::reap(int options)
{
    if (end_)
        return true;
    int status = 0;
    if (waitpid(id_, &status, options) != id_)
        return false;
    end_.emplace();
    if (WIFEXITED(status))
        end_->exitCode = WEXITSTATUS(status);
    else if (WIFSIGNALED(status))
        end_->signal = WTERMSIG(status);
    return true;
}

CommandResult runCommand(std::vector<std::string> command, const std::string &input,
                         std::chrono::milliseconds limit)
{
    ChildProcess process(std::move(command), input);
    const auto end = process.wait(limit);
    return {end ? end->exitCode : -1, process.standardOutput(), process.standardError()};
}

} // namespace Oleander::Testing
