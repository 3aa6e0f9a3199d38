#pragma once

#include "Base/error.h"
#include "Protocol/jsonreader.h"

#include <string>

namespace Oleander {

/** Limits of an entry's answer; a list of records is long. */
constexpr JsonLimits AnswerLimits = {.maxValues = 4'000'000};

/** Formats the body of one kind of answer as human-readable text. */
using AnswerTable = std::string (*)(const std::string &body);

/** Formats \a body with \a table; an error if it is not such an answer. */
Result<std::string> formatAnswer(AnswerTable table, const std::string &body);

/** Each throws an exception of the JSON library if \a body is not an answer of its kind. */
std::string changeTable(const std::string &body);
std::string bulkWithdrawalTable(const std::string &body);
std::string recordTable(const std::string &body);
std::string listTable(const std::string &body);
std::string eventTable(const std::string &body);
std::string statusTable(const std::string &body);
std::string evacuationTable(const std::string &body);
std::string evacuationListTable(const std::string &body);

} // namespace Oleander
