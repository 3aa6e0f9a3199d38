#include "Records/record.h"

#include "Protocol/codec.h"
#include "Records/event.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Records;

TEST_CASE("A record of each kind is unchanged by encoding and decoding")
{
    const Spec specs[] = {
        ServiceSpec{"licences", {2000, 512, 0}, 3, "serve", Spread::Rack, std::chrono::seconds(1)},
        BatchSpec{"archive", {500, 64, 1}, "pack", Urgency::Urgent, false, 5, {}},
        DrainSpec{"worker-1", "fan"},
        ConfigurationSpec{{{"a", "1"}}},
    };
    for (const auto &spec : specs) {
        const Record record{kindOf(spec), "n", 1, 7, "anna", spec, true, 12, WallTime{}};
        const auto decoded = decode<Record>(encode(record));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == record);
        CHECK(kindFromName(kindName(decoded->kind)) == decoded->kind);
    }
}

TEST_CASE("An event is unchanged by encoding and decoding")
{
    const Event event{4, 9, WallTime{}, {SubjectKind::Task, "t", "It ended.", "Done.", ""}};
    const auto decoded = decode<Event>(encode(event));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == event);
}
