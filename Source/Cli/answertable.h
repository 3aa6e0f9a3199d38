#pragma once

#include <string>

namespace Oleander {

/** Each formats the JSON body of one kind of answer as human-readable text. */
std::string changeTable(const std::string &body);
std::string bulkWithdrawalTable(const std::string &body);
std::string recordTable(const std::string &body);
std::string listTable(const std::string &body);
std::string eventTable(const std::string &body);
std::string statusTable(const std::string &body);

} // namespace Oleander
