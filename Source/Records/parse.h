#pragma once

#include "Base/error.h"
#include "Records/record.h"

#include <string>
#include <string_view>

namespace Oleander::Records {

/** Lowest and highest schema version that this build reads and writes, all of them in use. */
constexpr std::uint32_t MinSchema = 1;
constexpr std::uint32_t MaxSchema = 2;

/** Largest body of one record, in bytes. */
constexpr std::size_t MaxBodyBytes = 256UL * 1024;

/** What a body asks for and the schema version in which it was written. */
struct ParsedBody
{
    std::uint32_t schema = MaxSchema;
    Spec spec;
};

/**
 * Reads the JSON body of a record of \a kind, under the schema version that stands in the body.
 *
 * The error holds one sentence for each mistake, naming the field, its value and what is allowed.
 */
Result<ParsedBody> parseBody(RecordKind kind, std::string_view body);

/** Reads kind and name as they stand in a path. */
Result<RecordKey> parseKey(std::string_view kind, std::string_view name);

/** Checks the name of an operator as a door received it. */
Result<void> checkAuthor(std::string_view author);

/** Writes the JSON body of \a spec under \a schema; parseBody() reads the same spec from it. */
std::string serializeBody(std::uint32_t schema, const Spec &spec);

} // namespace Oleander::Records
