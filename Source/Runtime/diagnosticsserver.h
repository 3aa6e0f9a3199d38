#pragma once

#include "Runtime/httpserver.h"

namespace Oleander {

/**
 * Answers the diagnostic requests that every process supports: GET /v1/dump (text, or JSON if the
 * query is "output=json") and GET /metrics. Returns false without a response for anything else.
 */
bool answerDiagnosticsRequest(HttpExchange &exchange);

/**
 * \class DiagnosticsServer
 * \brief HTTP server that offers only the metrics and the state dump of a process.
 */
class DiagnosticsServer
{
public:
    DiagnosticsServer(EventLoop &loop, std::shared_ptr<HttpBudget> budget);

    /** Listens on \a address; does nothing if it is empty. */
    Result<void> listen(const std::string &address);

private:
    HttpServer server_;
};

} // namespace Oleander
