#include "Configuration/configurationgate.h"

#include "Configuration/configurationexchange.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using std::chrono::seconds;

namespace {

constexpr Duration Lease = seconds(3);
const TimePoint Start{seconds(100)};

} // namespace

TEST_CASE("A new gate admits no work until its version is confirmed")
{
    ConfigurationGate gate(Lease, Start);
    CHECK_FALSE(gate.admitsWork(Start));
    CHECK(gate.update(7, {{"a", "1"}}, std::nullopt));
    CHECK(gate.version() == 7);
    CHECK_FALSE(gate.admitsWork(Start));
    CHECK_FALSE(gate.update(7, {}, Start));
    CHECK(gate.admitsWork(Start));
    CHECK(gate.values().at("a") == "1");
}

TEST_CASE("A gate ignores a lower version and its confirmation")
{
    ConfigurationGate gate(Lease, Start);
    gate.update(7, {{"a", "7"}}, Start);
    CHECK_FALSE(gate.update(6, {{"a", "6"}}, Start + seconds(2)));
    CHECK(gate.version() == 7);
    CHECK(gate.values().at("a") == "7");
    CHECK_FALSE(gate.admitsWork(Start + Lease));
}

TEST_CASE("Work is admitted for one lease after the latest confirmation")
{
    ConfigurationGate gate(Lease, Start);
    gate.update(7, {}, Start);
    gate.update(7, {}, Start + seconds(1));
    gate.update(7, {}, Start);
    CHECK(gate.admitsWork(Start + seconds(1) + Lease - Duration(1)));
    CHECK_FALSE(gate.admitsWork(Start + seconds(1) + Lease));
}

TEST_CASE("A restarted process does not accept a confirmation from before its start")
{
    // A stale entry may have a confirmed version that is lower than the one that was in force in
    // this process before its restart.
    ConfigurationGate gate(Lease, Start);
    gate.update(6, {}, Start - Duration(1));
    CHECK_FALSE(gate.admitsWork(Start));
    gate.update(7, {}, Start);
    CHECK(gate.admitsWork(Start));
}

TEST_CASE("The age of a reply is counted from its request, and a reply is used only once")
{
    ConfigurationGate source(Lease, Start);
    source.update(7, {{"a", "1"}}, Start);
    ConfigurationGate gate(Lease, Start);
    ConfigurationPuller puller(gate);
    const auto pull = puller.startPull(Start + seconds(1));
    source.update(7, {}, Start + seconds(1));
    const auto push = makeConfigurationPush(pull, source, Start + seconds(2));
    CHECK(push.age == seconds(1));
    const auto result = puller.handlePush(push);
    CHECK(result.changed);
    CHECK(result.confirmed);
    CHECK(*gate.confirmedAt() == Start);
    CHECK_FALSE(puller.handlePush(push).confirmed);
}

TEST_CASE("A reply without values never brings its version into force")
{
    ConfigurationGate source(Lease, Start);
    source.update(7, {{"a", "1"}}, Start);
    // The reply to a request from before a restart arrives after it.
    const auto push = makeConfigurationPush({7, 1}, source, Start);
    CHECK(push.values.empty());
    ConfigurationGate gate(Lease, Start);
    ConfigurationPuller puller(gate);
    CHECK_FALSE(puller.handlePush(push).changed);
    puller.startPull(Start);
    // A request with the same stamp that names no known version cannot get this reply, because
    // replies are addressed to one incarnation; see the test of ConfigurationFollower.
    gate.update(9, {{"a", "2"}}, std::nullopt);
    puller.startPull(Start);
    CHECK_FALSE(puller.handlePush({7, true, {}, 2, {}}).changed);
    CHECK(gate.values().at("a") == "2");
    CHECK_FALSE(gate.admitsWork(Start));
}

TEST_CASE("An entry whose own confirmation has expired sends an unconfirmed reply")
{
    ConfigurationGate source(Lease, Start);
    source.update(7, {{"a", "1"}}, Start);
    ConfigurationGate gate(Lease, Start);
    ConfigurationPuller puller(gate);
    const auto push = makeConfigurationPush(puller.startPull(Start + Lease), source, Start + Lease);
    CHECK_FALSE(push.fresh);
    CHECK(puller.handlePush(push).changed);
    CHECK_FALSE(gate.admitsWork(Start + Lease));
}
