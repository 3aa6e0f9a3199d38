#include "Settings/settingsfile.h"

#include <algorithm>
#include <ostream>

namespace Oleander {

namespace {

bool listMistakes(const std::vector<SettingsMistake> &mistakes, std::ostream &errors)
{
    for (const auto &mistake : mistakes)
        errors << mistake.text() << '\n';
    return !mistakes.empty();
}

template<typename Settings>
std::optional<Settings> accepted(CheckedSettings<Settings> checked, std::ostream &errors)
{
    if (listMistakes(checked.mistakes, errors))
        return std::nullopt;
    return std::move(checked.settings);
}

bool hasSection(const IniFile &file, const std::string &section)
{
    return std::ranges::any_of(file.entries,
                               [&](const IniEntry &entry) { return entry.section == section; });
}

/** A file that cannot be read at all is one mistake, not one for each missing key. */
bool unreadable(const IniFile &file)
{
    return file.entries.empty() && !file.mistakes.empty() && file.mistakes.front().line == 0;
}

} // namespace

std::optional<EntrySettings> loadEntrySettings(const std::string &path, std::ostream &errors)
{
    auto file = readIniFile(path);
    if (unreadable(file)) {
        listMistakes(file.mistakes, errors);
        return std::nullopt;
    }
    return accepted(parseEntrySettings(std::move(file)), errors);
}

std::optional<AgentSettings> loadAgentSettings(const std::string &path, std::ostream &errors)
{
    auto file = readIniFile(path);
    if (unreadable(file)) {
        listMistakes(file.mistakes, errors);
        return std::nullopt;
    }
    return accepted(parseAgentSettings(std::move(file)), errors);
}

bool checkSettingsFile(const std::string &path, std::ostream &output, std::ostream &errors)
{
    const auto file = readIniFile(path);
    if (hasSection(file, "agent")) {
        const auto settings = loadAgentSettings(path, errors);
        if (settings)
            output << path << ": good settings of the agent \"" << settings->name << "\".\n";
        return settings.has_value();
    }
    const auto settings = loadEntrySettings(path, errors);
    if (settings)
        output << path << ": good settings of the entry \"" << settings->name << "\".\n";
    return settings.has_value();
}

} // namespace Oleander
