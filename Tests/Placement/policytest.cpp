#include "Placement/fairqueue.h"
#include "Placement/placementpolicy.h"
#include "Placement/workerledger.h"
#include "property.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace Oleander;
using namespace Oleander::Placement;

namespace {

constexpr Resources HostCapacity = {16'000, 60'000, 0};

TimePoint at(int second)
{
    return TimePoint(std::chrono::seconds(1000 + second));
}

/** Two workers with one service replica each, and a pairwise policy. */
struct PolicyFixture
{
    ClusterView view;
    PlacementPolicy policy{PolicyKind::Pairwise, 1};
    int second = 0;

    PolicyFixture()
    {
        for (const std::string name : {"w0", "w1"}) {
            view.setWorker(name, {"r", name, name}, HostCapacity, true);
            TaskTraits traits;
            traits.id = "service." + name;
            traits.kind = view.intern("kind/service-" + name);
            traits.isService = true;
            traits.declared = {2000, 4000, 0};
            view.add(traits, view.workerId(name), at(0));
        }
    }

    TaskTraits batch(const std::string &id, const std::string &kind)
    {
        TaskTraits traits;
        traits.id = id;
        traits.kind = view.intern("kind/" + kind);
        traits.declared = {4000, 4000, 0};
        return traits;
    }

    void reportLatency(const std::string &service, int milliseconds)
    {
        policy.report({service, at(second), 2.0, 4000, std::chrono::milliseconds(milliseconds), 0},
                      view);
    }
};

} // namespace

TEST_CASE("The capacity tree finds a worker exactly when a scan finds one")
{
    const auto failure = Testing::propertyFailure(20'260'504, 200, [] {
        CapacityTree tree;
        std::vector<std::optional<Resources>> available;
        std::minstd_rand random(1);
        const auto drawSize = [] {
            return Resources{static_cast<std::uint32_t>(*rc::gen::inRange(0, 8)),
                             static_cast<std::uint64_t>(*rc::gen::inRange(0, 8)),
                             static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))};
        };
        for (int step = 0; step < 60; ++step) {
            const auto worker = static_cast<std::size_t>(*rc::gen::inRange(0, 13));
            available.resize(std::max(available.size(), worker + 1));
            if (*rc::gen::inRange(0, 5) == 0) {
                available[worker].reset();
                tree.exclude(worker);
            } else {
                available[worker] = drawSize();
                tree.set(worker, *available[worker]);
            }
            const Resources size = drawSize();
            std::optional<std::size_t> scanned;
            for (std::size_t i = 0; i < available.size() && !scanned; ++i) {
                if (available[i] && fitsInto(size, *available[i]))
                    scanned = i;
            }
            RC_ASSERT(tree.findFirst(size) == scanned);
            const auto any = tree.findAny(size, random);
            RC_ASSERT(any.has_value() == scanned.has_value());
            RC_ASSERT((!any || fitsInto(size, *available[*any])));
        }
    });
    INFO(failure);
    CHECK(failure.empty());
}

TEST_CASE("A batch kind that slowed down one service is placed beside another one")
{
    PolicyFixture fixture;
    // The noisy kind runs beside both services in turn; only one of them slows down.
    for (int round = 0; round < 10; ++round) {
        for (const std::string worker : {"w0", "w1"}) {
            const bool isNoisyNow = round % 2 == 1;
            if (isNoisyNow)
                fixture.view.add(fixture.batch("noisy." + worker, "noisy"),
                                 fixture.view.workerId(worker), at(fixture.second));
            fixture.second += 10;
            fixture.reportLatency("service." + worker, isNoisyNow && worker == "w0" ? 200 : 20);
            fixture.view.remove("noisy." + worker, at(fixture.second));
        }
    }
    for (int trial = 0; trial < 20; ++trial) {
        const auto chosen =
            fixture.policy.choose({fixture.batch("next", "noisy"), {}}, fixture.view);
        REQUIRE(chosen.has_value());
        CHECK(fixture.view.worker(*chosen).name == "w1");
    }
}

TEST_CASE("A late report is attributed to the neighbours at the time of its measurement")
{
    InterferenceModel model;
    ClusterView view;
    PairwiseChooser chooser(PolicyWeights{}, 1);
    const ViewId worker = view.setWorker("w", {"r", "d", "k"}, HostCapacity, true);
    TaskTraits service;
    service.id = "service";
    service.kind = 0;
    service.isService = true;
    service.declared = {2000, 4000, 0};
    view.add(service, worker, at(0));
    TaskTraits batch;
    batch.declared = {8000, 4000, 0};
    const auto report = [&](int second, int milliseconds) {
        chooser.learn({"service", at(second), 2, 4000, std::chrono::milliseconds(milliseconds), 0},
                      *view.find("service"), view);
    };
    report(5, 20);
    batch.id = "guilty";
    batch.kind = 1;
    view.add(batch, worker, at(10));
    view.remove("guilty", at(20));
    batch.id = "innocent";
    batch.kind = 2;
    view.add(batch, worker, at(21));
    const double before = chooser.model().effect(0, 2).mean;
    report(15, 200);
    CHECK(chooser.model().effect(0, 1).mean > before);
    CHECK(chooser.model().effect(0, 2).mean == before);
}

TEST_CASE("Relief throttles before it evicts, waits between steps, and never touches a service")
{
    PolicyFixture fixture;
    fixture.second = 10;
    fixture.reportLatency("service.w0", 20);
    fixture.view.add(fixture.batch("noisy", "noisy"), fixture.view.workerId("w0"), at(11));
    std::vector<ReliefStep> steps;
    for (fixture.second = 20; fixture.second < 400; fixture.second += 5) {
        fixture.reportLatency("service.w0", 400);
        for (const ReliefStep &step : fixture.policy.planRelief(fixture.view, at(fixture.second))) {
            CHECK(step.task == "noisy");
            if (step.kind == ReliefStep::Kind::Throttle)
                fixture.view.find("noisy")->throttlePercent = step.throttlePercent;
            steps.push_back(step);
        }
        if (!steps.empty() && steps.back().kind == ReliefStep::Kind::Evict)
            break;
    }
    REQUIRE(steps.size() >= 3);
    CHECK(steps[0].throttlePercent == 50);
    CHECK(steps[1].throttlePercent == 25);
    CHECK(steps[2].kind == ReliefStep::Kind::Evict);
    CHECK(fixture.second >= 20 + 2 * 35);
}

TEST_CASE("Replicas of a service are spread over failure domains and racks")
{
    ClusterView view;
    PlacementPolicy policy(PolicyKind::Pairwise, 3);
    for (int worker = 0; worker < 18; ++worker) {
        view.setWorker("w" + std::to_string(worker),
                       {"r", "d" + std::to_string(worker % 3), "k" + std::to_string(worker / 3)},
                       HostCapacity, true);
    }
    TaskTraits traits;
    traits.isService = true;
    traits.group = view.intern("group");
    traits.kind = view.intern("kind");
    traits.spread = Records::Spread::FailureDomain;
    traits.declared = {2000, 4000, 0};
    std::map<ViewId, int> domains;
    for (int replica = 0; replica < 6; ++replica) {
        traits.id = std::to_string(replica);
        const auto chosen = policy.choose({traits, {}}, view);
        REQUIRE(chosen.has_value());
        ++domains[view.worker(*chosen).failureDomain];
        view.add(traits, *chosen, at(0));
    }
    CHECK(domains.size() == 3);
    for (const auto &[domain, replicas] : domains)
        CHECK(replicas == 2);
}

TEST_CASE("The queue serves services, urgent work, then teams by their shares")
{
    FairQueue queue;
    queue.setQuota("large", {2.0, 0});
    queue.setQuota("bounded", {1.0, 1.5});
    std::uint64_t order = 0;
    for (const std::string team : {"large", "small", "bounded"}) {
        for (int job = 0; job < 3; ++job)
            queue.add({team + std::to_string(job), team, QueueClass::Ordinary, ++order, 1.0});
    }
    queue.add({"urgent", "small", QueueClass::Urgent, ++order, 1.0});
    queue.add({"service", "small", QueueClass::Service, ++order, 1.0});
    queue.addUsage("small", 1.0);
    const std::vector<std::string> next = queue.next(100);
    REQUIRE(next.size() == 9);
    CHECK(next[0] == "service");
    CHECK(next[1] == "urgent");
    const auto place = [&](const std::string &id) {
        return std::find(next.begin(), next.end(), id) - next.begin();
    };
    CHECK(place("large1") < place("small0"));
    CHECK(place("bounded0") < place("small0"));
    // Its second job would exceed the limit of the team.
    CHECK(place("bounded1") == 9);
    queue.addUsage("small", -1.0);
    queue.remove("large0");
    CHECK(queue.size() == 10);
}
