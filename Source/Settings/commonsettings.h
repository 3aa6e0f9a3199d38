#pragma once

#include "Base/location.h"
#include "Runtime/httpbudget.h"
#include "Runtime/httpserver.h"
#include "Settings/settingsbinder.h"

#include <vector>

namespace Oleander {

/** Binds the keys for region, failure domain and rack of \a section. */
void bindLocation(SettingsBinder &binder, const char *section, Location &location);

/** Limits of a server that takes configurations or minions' announcements, of up to 4 MiB. */
constexpr HttpLimits DocumentLimits{.maxBodyBytes = 4U << 20U};

/** Default budget of an agent, which runs on a machine of 128 MB. */
constexpr HttpSettings AgentHttpSettings{.requestBudget = 32U << 20U};

/** Limits of an HTTP server with the section that they are read from. */
struct SectionLimits
{
    const char *section;
    const HttpLimits &limits;
};

/** Binds the keys for all HTTP servers of a process. A budget that is not in the file is raised to
 * what one legal request of each of \a servers needs; a smaller one in the file is an error. */
void bindHttp(SettingsBinder &binder, HttpSettings &http,
              const std::vector<SectionLimits> &servers);

/** Binds the keys of \a section for the limits of an HTTP server. */
void bindLimits(SettingsBinder &binder, const char *section, HttpLimits &limits);

/** Binds the listening and the advertised messenger address of \a section. */
void bindLink(SettingsBinder &binder, const char *section, std::string &link,
              std::string &advertised);

/** Adds an error if two addresses of \a section are equal; port 0 never conflicts. */
void checkAddressesDiffer(SettingsBinder &binder, const char *section, const char *key,
                          const std::string &value, const char *otherKey, const std::string &other);

} // namespace Oleander
