#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>

namespace Oleander::Testing {

/** Checks a RapidCheck property with a fixed seed; returns the description of a failure, or an
 * empty string. */
template<typename Property>
std::string propertyFailure(std::uint64_t seed, int cases, Property &&property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property),
                                                  rc::detail::TestMetadata{}, params);
    if (result.template is<rc::detail::SuccessResult>())
        return {};
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
}

} // namespace Oleander::Testing
