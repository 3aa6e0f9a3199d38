#include "Entry/pendingproposals.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("A local proposal whose entry was replaced by another leader is not proposed again")
{
    // It was proposed again in a later term, and reverted what that leader had acknowledged.
    const bool isLocalOnly = GENERATE(false, true);
    PendingProposals proposals;
    std::optional<Result<std::string>> outcome;
    proposals.addAppended({7, 3},
                          {"command", [&](auto result) { outcome = result; }, {}, isLocalOnly});
    proposals.complete({8, 3}, "other");
    for (const auto &finished : proposals.takeFinished())
        finished();
    CHECK(proposals.takeWaiting().size() == (isLocalOnly ? 0 : 1));
    REQUIRE(outcome.has_value() == isLocalOnly);
    if (isLocalOnly)
        CHECK(outcome->error().code == Failure::NotLeader);
}
