#include "Support/processusage.h"

#include <unistd.h>

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

} // namespace Oleander::Testing
