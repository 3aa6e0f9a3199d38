#pragma once

#include "Protocol/jobcalls.h"

#include <string>
#include <utility>

namespace Oleander::Fleet {

inline JobAnswer answerOf(JobAnswerKind kind, std::string detail = {})
{
    JobAnswer answer;
    answer.kind = kind;
    answer.detail = std::move(detail);
    return answer;
}

} // namespace Oleander::Fleet
