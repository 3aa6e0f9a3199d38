#pragma once

#include <concepts>
#include <type_traits>

namespace Oleander {

/**
 * Every aggregate that crosses a process boundary or goes to disk has, beside it, a function
 *
 *     void visitFields(F &&f, Fields<Aggregate> auto &&value)
 *
 * that calls \a f once for each field, in an order that never changes. New fields go last: the
 * decoder leaves fields that an older sender did not know at their default.
 */
template<typename T, typename Aggregate>
concept Fields = std::same_as<std::remove_cvref_t<T>, Aggregate>;

} // namespace Oleander
