#include "Routing/endtoendheaders.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("Hop-by-hop fields are removed, including those listed in Connection")
{
    const auto kept = endToEndHeaders({{"Accept", "*/*"},
                                       {"connection", "close, X-Hop"},
                                       {"x-hop", "1"},
                                       {"TRANSFER-ENCODING", "chunked"},
                                       {"Content-Length", "3"},
                                       {"Content-Type", "text/plain"}});
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "Accept");
    CHECK(kept[1].name == "Content-Type");
}
