#pragma once

#include "Base/error.h"
#include "Records/record.h"

#include <string>
#include <string_view>

namespace Oleander::Records {

/** Range of schema versions that this build reads and writes. */
constexpr std::uint32_t MinSchema = 1;
constexpr std::uint32_t MaxSchema = 2;

/** Maximum size of the body of one record, in bytes. */
constexpr std::size_t MaxBodyBytes = 256UL * 1024;

/** Content of a body and the schema version in which it was written. */
struct ParsedBody
{
    std::uint32_t schema = MaxSchema;
    Spec spec;
};

/**
 * Parses the JSON body of a record of \a kind according to the schema version given in the body.
 *
 * The error contains one sentence per problem with the field, its value and the allowed values.
 */
Result<ParsedBody> parseBody(RecordKind kind, std::string_view body);

/** Parses the kind and the name of a record from a request path. */
Result<RecordKey> parseKey(std::string_view kind, std::string_view name);

/** Checks the operator name of a request. */
Result<void> checkAuthor(std::string_view author);

/** Writes \a spec as a JSON body of version \a schema; parseBody() restores an equal spec. */
std::string serializeBody(std::uint32_t schema, const Spec &spec);

} // namespace Oleander::Records
