#pragma once

#include <event2/http.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Oleander {

/** Name of an evhttp method, or an empty string. */
std::string_view httpMethodName(evhttp_cmd_type method);

/** The evhttp method called \a name, or nothing. */
std::optional<evhttp_cmd_type> httpMethod(std::string_view name);

/** Every method that a door takes, as the mask that evhttp wants. */
std::uint16_t allHttpMethods();

} // namespace Oleander
