#pragma once

#include <concepts>
#include <string>
#include <type_traits>

namespace Oleander {

/** Location of a process: region, failure domain within the region, rack within the domain. */
struct Location
{
    std::string region;
    std::string failureDomain;
    std::string rack;

    bool operator==(const Location &) const = default;
};

template<typename F>
void visitFields(
    F &&f, auto &&location) requires std::same_as<std::remove_cvref_t<decltype(location)>, Location>
{
    f(location.region);
    f(location.failureDomain);
    f(location.rack);
}

} // namespace Oleander
