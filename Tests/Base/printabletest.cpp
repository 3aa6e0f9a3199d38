#include "Base/printable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("Untrusted bytes are escaped and truncated for error messages")
{
    CHECK(printable("a b~") == "a b~");
    CHECK(printable(std::string("\0\n\xff", 3)) == "\\x00\\x0a\\xff");
    CHECK(printable(std::string(1000, 'a')) == std::string(200, 'a') + "...");
}
