#pragma once

#include "Settings/agentsettings.h"
#include "Settings/entrysettings.h"
#include "Settings/fleetsettings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Oleander {

/** Loads the settings of an entry; prints all errors to \a errors and returns nothing if invalid.
 */
std::optional<EntrySettings> loadEntrySettings(const std::string &path, std::ostream &errors);

/** Loads the settings of an agent; prints all errors to \a errors and returns nothing if invalid.
 */
std::optional<AgentSettings> loadAgentSettings(const std::string &path, std::ostream &errors);

/** Load the settings of the processes for jobs in the same way. */
std::optional<ControlHostSettings> loadControlHostSettings(const std::string &path,
                                                           std::ostream &errors);
std::optional<JobEntrySettings> loadJobEntrySettings(const std::string &path, std::ostream &errors);
std::optional<MachineAgentSettings> loadMachineAgentSettings(const std::string &path,
                                                             std::ostream &errors);

/**
 * Checks a settings file of any process, recognized by its main section. Prints all errors to
 * \a errors, or a confirmation to \a output if there are none.
 */
bool checkSettingsFile(const std::string &path, std::ostream &output, std::ostream &errors);

} // namespace Oleander
