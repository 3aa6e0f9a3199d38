#pragma once

#include "Runtime/httpserver.h"

namespace Oleander {

/**
 * Answers what every process tells at its operators' door: GET /v1/dump (text, or JSON when the
 * query is "output=json") and GET /metrics. Returns false, and answers nothing, for other paths.
 */
bool answerDiagnosticsRequest(HttpExchange &exchange);

/**
 * \class DiagnosticsServer
 * \brief Door at which a process tells its metrics and its state, and nothing else.
 */
class DiagnosticsServer
{
public:
    explicit DiagnosticsServer(EventLoop &loop);

    /** Listens at \a address; an empty one opens no door. */
    Result<void> listen(const std::string &address);

private:
    HttpServer server_;
};

} // namespace Oleander
