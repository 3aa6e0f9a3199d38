#pragma once

#include "Runtime/httpserver.h"

namespace Oleander {

/**
 * Answers what every process tells at its operators' door: GET /v1/dump (text, or JSON when the
 * query is "output=json") and GET /metrics. Returns false, and answers nothing, for other paths.
 */
bool answerProcessRequest(HttpExchange &exchange);

} // namespace Oleander
