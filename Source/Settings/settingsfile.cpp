#include "Settings/settingsfile.h"

#include <algorithm>
#include <ostream>

namespace Oleander {

namespace {

/** Prints \a fileErrors; returns true if there are any. */
bool printErrors(const std::vector<SettingsError> &fileErrors, std::ostream &errors)
{
    for (const auto &error : fileErrors)
        errors << error.text() << '\n';
    return !fileErrors.empty();
}

template<typename Settings>
std::optional<Settings> settingsIfValid(CheckedSettings<Settings> checked, std::ostream &errors)
{
    if (printErrors(checked.errors, errors))
        return std::nullopt;
    return std::move(checked.settings);
}

bool hasSection(const IniFile &file, const std::string &section)
{
    return std::ranges::any_of(file.entries,
                               [&](const IniEntry &entry) { return entry.section == section; });
}

/** True for an unreadable file, which is reported as one error instead of all missing keys. */
bool isUnreadable(const IniFile &file)
{
    return file.entries.empty() && !file.errors.empty() && file.errors.front().line == 0;
}

template<typename Settings>
std::optional<Settings> load(const std::string &path, std::ostream &errors,
                             CheckedSettings<Settings> (*parse)(IniFile))
{
    auto file = readIniFile(path);
    if (isUnreadable(file)) {
        printErrors(file.errors, errors);
        return std::nullopt;
    }
    return settingsIfValid(parse(std::move(file)), errors);
}

template<typename Settings>
bool printIfValid(const std::string &path, const std::optional<Settings> &settings,
                  std::string_view process, std::ostream &output)
{
    if (settings)
        output << path << ": good settings of the " << process << ".\n";
    return settings.has_value();
}

} // namespace

std::optional<EntrySettings> loadEntrySettings(const std::string &path, std::ostream &errors)
{
    return load(path, errors, parseEntrySettings);
}

std::optional<AgentSettings> loadAgentSettings(const std::string &path, std::ostream &errors)
{
    return load(path, errors, parseAgentSettings);
}

std::optional<ControlHostSettings> loadControlHostSettings(const std::string &path,
                                                           std::ostream &errors)
{
    return load(path, errors, parseControlHostSettings);
}

std::optional<JobEntrySettings> loadJobEntrySettings(const std::string &path, std::ostream &errors)
{
    return load(path, errors, parseJobEntrySettings);
}

std::optional<MachineAgentSettings> loadMachineAgentSettings(const std::string &path,
                                                             std::ostream &errors)
{
    return load(path, errors, parseMachineAgentSettings);
}

bool checkSettingsFile(const std::string &path, std::ostream &output, std::ostream &errors)
{
    const auto file = readIniFile(path);
    if (hasSection(file, "agent")) {
        const auto settings = loadAgentSettings(path, errors);
        return printIfValid(path, settings, "agent \"" + (settings ? settings->name : "") + "\"",
                            output);
    }
    if (hasSection(file, "control-host"))
        return printIfValid(path, loadControlHostSettings(path, errors), "control host", output);
    if (hasSection(file, "job-entry"))
        return printIfValid(path, loadJobEntrySettings(path, errors), "entry for jobs", output);
    if (hasSection(file, "machine-agent"))
        return printIfValid(path, loadMachineAgentSettings(path, errors), "agent of a machine",
                            output);
    const auto settings = loadEntrySettings(path, errors);
    return printIfValid(path, settings, "entry \"" + (settings ? settings->name : "") + "\"",
                        output);
}

} // namespace Oleander
