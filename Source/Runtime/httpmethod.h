#pragma once

#include <event2/http.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Oleander {

/** Returns the name of an evhttp method, or "unknown" for an unsupported one. */
std::string_view httpMethodName(evhttp_cmd_type method);

/** Returns the evhttp method called \a name, or nullopt. */
std::optional<evhttp_cmd_type> httpMethod(std::string_view name);

/** Returns the bit mask of all supported methods for evhttp_set_allowed_methods(). */
std::uint16_t allHttpMethods();

} // namespace Oleander
