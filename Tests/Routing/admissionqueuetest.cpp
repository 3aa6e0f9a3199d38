#include "Routing/admissionqueue.h"

#include "Routing/retrybudget.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace std::chrono_literals;
using Verdict = AdmissionQueue::Verdict;

namespace {

constexpr TimePoint Start{10s};

Deadline in(Duration remaining)
{
    return {Start, remaining};
}

} // namespace

TEST_CASE("Requests run up to the slot limit, queue up to the connection limit, and are refused "
          "beyond it")
{
    AdmissionQueue queue({2, 4});
    CHECK(queue.offer("a", in(1s), Start) == Verdict::Run);
    CHECK(queue.offer("b", in(1s), Start) == Verdict::Run);
    CHECK(queue.offer("c", in(1s), Start) == Verdict::Queued);
    CHECK(queue.offer("d", in(1s), Start) == Verdict::Queued);
    CHECK(queue.offer("e", in(1s), Start) == Verdict::Full);
    CHECK(queue.dequeue(Start).ready.empty());
    queue.finished(1ms, Start);
    CHECK(queue.dequeue(Start).ready == std::vector<std::string>{"c"});
    CHECK(queue.running() == 2);
    CHECK(queue.remove("d"));
    CHECK_FALSE(queue.remove("d"));
    CHECK(queue.queued() == 0);
}

TEST_CASE("A request that cannot be answered before its deadline is refused immediately")
{
    AdmissionQueue queue({1, 64});
    queue.offer("a", in(10s), Start);
    queue.finished(100ms, Start);
    CHECK(queue.offer("expired", in(0s), Start) == Verdict::TooLate);
    CHECK(queue.offer("b", in(10s), Start) == Verdict::Run);
    CHECK(queue.offer("c", in(150ms), Start) == Verdict::Queued);
    CHECK(queue.offer("d", in(150ms), Start) == Verdict::TooLate);
    CHECK(queue.offer("e", in(1s), Start) == Verdict::Queued);
}

TEST_CASE("Expired requests are removed from the queue before free slots are allocated")
{
    AdmissionQueue queue({1, 64});
    queue.offer("a", in(10s), Start);
    queue.offer("late", in(10ms), Start);
    queue.offer("patient", in(10s), Start);
    queue.finished(1ms, Start + 20ms);
    const auto next = queue.dequeue(Start + 20ms);
    CHECK(next.expired == std::vector<std::string>{"late"});
    CHECK(next.ready == std::vector<std::string>{"patient"});
}

TEST_CASE("Slots busy before the agent started stay occupied until the minion reports them free")
{
    AdmissionQueue queue({4, 8});
    queue.reportBusySlots(3);
    CHECK(queue.offer("a", in(1s), Start) == Verdict::Run);
    CHECK(queue.offer("b", in(1s), Start) == Verdict::Queued);
    // This report may have been sent before "a" started. It must not free a slot that is in use.
    queue.reportBusySlots(3);
    CHECK(queue.dequeue(Start).ready == std::vector<std::string>{"b"});
    queue.reportBusySlots(4);
    CHECK(queue.orphanedSlots() == 2);
    queue.reportBusySlots(2);
    CHECK(queue.orphanedSlots() == 0);
    queue.reportBusySlots(4);
    CHECK(queue.orphanedSlots() == 0);
}

TEST_CASE("Retries are limited to their share of the traffic")
{
    RetryBudget budget({.share = 0.1, .minimumPerSecond = 2.0, .maximumBalance = 10.0}, Start);
    CHECK(budget.withdraw(Start));
    CHECK(budget.withdraw(Start));
    CHECK_FALSE(budget.withdraw(Start));
    for (int i = 0; i < 25; ++i)
        budget.deposit();
    CHECK(budget.withdraw(Start));
    CHECK(budget.withdraw(Start));
    CHECK_FALSE(budget.withdraw(Start));
    CHECK(budget.withdraw(Start + 1s));
    for (int i = 0; i < 1000; ++i)
        budget.deposit();
    int allowed = 0;
    while (budget.withdraw(Start + 1s))
        ++allowed;
    CHECK(allowed == 10);
}

TEST_CASE("The latency quantile converges to the requested quantile of the samples")
{
    LatencyQuantile quantile(0.95);
    for (int i = 0; i < 20000; ++i)
        quantile.observe(std::chrono::microseconds(1000 + (i * 7919) % 1000));
    CHECK(quantile.value() > 1800us);
    CHECK(quantile.value() < 2200us);
}
