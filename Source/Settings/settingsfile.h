#pragma once

#include "Settings/agentsettings.h"
#include "Settings/entrysettings.h"
#include "Settings/fleetsettings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Oleander {

/** Reads the settings of an entry; lists every mistake on \a errors and returns nothing then. */
std::optional<EntrySettings> loadEntrySettings(const std::string &path, std::ostream &errors);

/** Reads the settings of an agent; lists every mistake on \a errors and returns nothing then. */
std::optional<AgentSettings> loadAgentSettings(const std::string &path, std::ostream &errors);

/** Read the settings of the processes for jobs; list every mistake on \a errors. */
std::optional<ControlHostSettings> loadControlHostSettings(const std::string &path,
                                                           std::ostream &errors);
std::optional<JobEntrySettings> loadJobEntrySettings(const std::string &path, std::ostream &errors);
std::optional<MachineAgentSettings> loadMachineAgentSettings(const std::string &path,
                                                             std::ostream &errors);

/**
 * Checks a settings file of any process, told apart by its first section. Lists
 * every mistake on \a errors, or says on \a output that there is none.
 */
bool checkSettingsFile(const std::string &path, std::ostream &output, std::ostream &errors);

} // namespace Oleander
