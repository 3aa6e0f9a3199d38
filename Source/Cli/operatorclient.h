#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Runtime/httpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace Oleander {

/** An answer of an entry and the address of the entry that gave it. */
struct EntryAnswer
{
    std::string entry;
    HttpResponse response;
};

/** How an OperatorClient reaches the entries. */
struct OperatorClientOptions
{
    /** Operators' doors of the entries, tried in this order and round again. */
    std::vector<std::string> servers;
    /** Time after which the client gives up. */
    Duration timeout{};
    /** Time that the entry may take for its answer beyond the usual. */
    Duration answerWait{};
    /** Told once a second how long the client has waited and what for. */
    std::function<void(Duration, const std::string &)> progress;
};

/**
 * \class OperatorClient
 * \brief Calls the operators' door of whichever entry answers.
 *
 * An entry that cannot be reached, or says that it carried nothing out, is followed by the next.
 * A request whose fate is unknown is sent again only with the same Idempotency-Key, so that it
 * takes effect at most once. Failure::Unknown says that a request may have taken effect,
 * Failure::Unavailable that it surely did not.
 */
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    /** Blocks until an entry answered, the time is over or the user interrupted. */
    Result<EntryAnswer> call(const HttpRequest &request);

private:
    OperatorClientOptions options_;
};

} // namespace Oleander
