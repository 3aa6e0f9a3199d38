#pragma once

#include "Base/location.h"
#include "Runtime/httpserver.h"
#include "Settings/settingsbinder.h"

namespace Oleander {

/** Binds region, failure domain and rack in \a section. */
void bindLocation(SettingsBinder &binder, const char *section, Location &location);

/** Binds what a door takes at most in \a section. */
void bindLimits(SettingsBinder &binder, const char *section, HttpLimits &limits);

/** Binds the listening and the advertised address of the inbox in \a section. */
void bindLink(SettingsBinder &binder, const char *section, std::string &link,
              std::string &advertised);

/** Adds a mistake when two addresses of \a section that must differ are the same. */
void checkAddressesDiffer(SettingsBinder &binder, const char *section, const char *key,
                          const std::string &value, const char *otherKey, const std::string &other);

} // namespace Oleander
