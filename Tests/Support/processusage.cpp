#include "Support/processusage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Oleander::Testing {

ProcessUsage usageOf(pid_t id)
{
    const std::string folder = "/proc/" + std::to_string(id);
    ProcessUsage usage;
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    std::ifstream(folder + "/statm") >> pages >> resident;
    usage.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));

    std::string line;
    std::ifstream stat(folder + "/stat");
    std::getline(stat, line);
    // The program name is in parentheses and may contain blanks; the other fields follow it.
    const auto nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos)
        return usage;
    std::istringstream fields(line.substr(nameEnd + 1));
    constexpr int FieldsBeforeUserTime = 11;
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i)
        fields >> skipped;
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    usage.processorSeconds =
        static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

std::uint64_t peakResidentBytes(pid_t id)
{
    constexpr std::uint64_t KiB = 1024;
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    std::string name;
    while (status >> name) {
        std::uint64_t value = 0;
        if (name == "VmHWM:" && status >> value)
            return value * KiB;
        std::getline(status, name);
    }
    return 0;
}

std::size_t openDescriptors(pid_t id)
{
    std::error_code error;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(id) + "/fd", error);
    std::size_t count = 0;
    while (!error && entry != std::filesystem::directory_iterator()) {
        ++count;
        entry.increment(error);
    }
    return count;
}

} // namespace Oleander::Testing
