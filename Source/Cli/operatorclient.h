#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Runtime/httpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace Oleander {

/** An answer and the address of the entry that sent it. */
struct EntryAnswer
{
    std::string entry;
    HttpResponse response;
};

/** Addresses and time limits of an OperatorClient. */
struct OperatorClientOptions
{
    /** Addresses of the entries' HTTP servers for operators, tried in this order, repeatedly. */
    std::vector<std::string> servers;
    /** Time limit of the call, not including answerWait. */
    Duration timeout{};
    /** Additional time by which the entry may delay its answer. */
    Duration answerWait{};
    /** Called once a second with the elapsed time and the current state; optional. */
    std::function<void(Duration, const std::string &)> progress;
};

/**
 * \class OperatorClient
 * \brief Sends a request to the entries in turn until one of them answers it.
 *
 * The next entry is tried if an entry is unreachable or reports that it did not execute the
 * request. A request with an unknown outcome is only resent with the same Idempotency-Key, so that
 * it takes effect at most once. Failure::Unknown means that a request may have taken effect,
 * Failure::Unavailable that it did not.
 */
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    /** Blocks until an entry answers, the time limit is exceeded or the user interrupts. */
    Result<EntryAnswer> call(const HttpRequest &request);

private:
    OperatorClientOptions options_;
};

} // namespace Oleander
