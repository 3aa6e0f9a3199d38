#pragma once

#include "Base/location.h"
#include "Runtime/httpserver.h"
#include "Settings/settingsbinder.h"

namespace Oleander {

/** Binds the keys for region, failure domain and rack of \a section. */
void bindLocation(SettingsBinder &binder, const char *section, Location &location);

/** Binds the keys of \a section for the limits of an HTTP server. */
void bindLimits(SettingsBinder &binder, const char *section, HttpLimits &limits);

/** Binds the listening and the advertised messenger address of \a section. */
void bindLink(SettingsBinder &binder, const char *section, std::string &link,
              std::string &advertised);

/** Adds an error if two addresses of \a section are equal; port 0 never conflicts. */
void checkAddressesDiffer(SettingsBinder &binder, const char *section, const char *key,
                          const std::string &value, const char *otherKey, const std::string &other);

} // namespace Oleander
