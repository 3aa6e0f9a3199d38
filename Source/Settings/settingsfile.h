#pragma once

#include "Settings/agentsettings.h"
#include "Settings/entrysettings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace Oleander {

/** Reads the settings of an entry; lists every mistake on \a errors and returns nothing then. */
std::optional<EntrySettings> loadEntrySettings(const std::string &path, std::ostream &errors);

/** Reads the settings of an agent; lists every mistake on \a errors and returns nothing then. */
std::optional<AgentSettings> loadAgentSettings(const std::string &path, std::ostream &errors);

/**
 * Checks a settings file of either program, told apart by its section [entry] or [agent]. Lists
 * every mistake on \a errors, or says on \a output that there is none.
 */
bool checkSettingsFile(const std::string &path, std::ostream &output, std::ostream &errors);

} // namespace Oleander
