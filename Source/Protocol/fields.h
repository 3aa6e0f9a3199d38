#pragma once

#include <concepts>
#include <type_traits>

namespace Oleander {

/**
 * Every aggregate that is sent to another process or stored on disk has, next to it, a function
 *
 *     void visitFields(F &&f, Fields<Aggregate> auto &&value)
 *
 * that calls \a f once for each field. Fields are encoded by position, so their order must never
 * change and new fields are appended: the decoder leaves fields that are missing from an older
 * sender's message at their defaults.
 */
template<typename T, typename Aggregate>
concept Fields = std::same_as<std::remove_cvref_t<T>, Aggregate>;

} // namespace Oleander
