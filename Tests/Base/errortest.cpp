#include "Base/error.h"

#include "Base/nametable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("The text of an error contains its step and its peer")
{
    const Error error = makeError(Failure::Refused, Step::Admit, "agent-1", "All slots are busy.");
    CHECK(error.text() == "All slots are busy. (step admit, peer agent-1)");
    CHECK(error.code == Failure::Refused);
    CHECK(error.code.message() == "refused");
}

TEST_CASE("Every step has a name")
{
    for (int value = 0; value <= static_cast<int>(Step::Leave); ++value)
        CHECK(stepName(static_cast<Step>(value)) != "unknown");
}

TEST_CASE("A name table lists the allowed names and finds values by name")
{
    enum class Shape { Round, Square };
    constexpr NameTable<Shape, 2> Names = {{{Shape::Round, "round"}, {Shape::Square, "square"}}};
    CHECK(allowedNames(Names) == "round or square");
    CHECK(valueIn(Names, "square") == Shape::Square);
    CHECK_FALSE(valueIn(Names, "oval").has_value());
}
