#pragma once

#include <string>

namespace Oleander {

/** Each turns the JSON body of one answer into lines for people. */
std::string changeTable(const std::string &body);
std::string bulkWithdrawalTable(const std::string &body);
std::string recordTable(const std::string &body);
std::string listTable(const std::string &body);
std::string eventTable(const std::string &body);
std::string statusTable(const std::string &body);

} // namespace Oleander
