#include "jobfixture.h"
#include "Protocol/codec.h"

#include <string>
#include <vector>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** What is known of the run of a task on a minion that crashed. */
struct RunCrash
{
    std::uint32_t suspects = 1;
    bool hasStarted = true;
};

constexpr RunCrash Shared{3, true};
constexpr RunCrash SharedUnconfirmed{3, false};
constexpr RunCrash Alone{1, true};
constexpr RunCrash AloneUnconfirmed{1, false};

/** A job of one task whose runs end on minions that crash. */
struct EvidenceFixture : BookFixture
{
    TaskRef task{"a", 0, 0};
    std::uint32_t run = 0;

    EvidenceFixture() { submit("a", {step(1)}); }

    void crash(const RunCrash &how)
    {
        REQUIRE(start(task, ++run, LifeA));
        JobBatch batch;
        batch.ends.push_back(
            {LifeA, {0, task, run, RunEndKind::Lost, {}}, how.suspects, how.hasStarted});
        apply(std::move(batch));
    }
    /** Crashes one minion after another, and returns after how many the task is given up; 0 if it
     * is not. */
    std::size_t crashUntilGivenUp(const std::vector<RunCrash> &crashes)
    {
        for (std::size_t i = 0; i < crashes.size(); ++i) {
            crash(crashes[i]);
            if (state("a") == JobState::Failed)
                return i + 1;
        }
        return 0;
    }
};

/** The fields of a task in snapshots of earlier versions. */
struct EarlierTask
{
    std::uint32_t lastRun = 2;
    std::uint32_t failures = 0;
    bool done = false;
    std::string checkpoint;
    std::vector<ActiveRun> active;
    std::uint32_t suspectedCrashes = 2;
    std::uint32_t crashes = 1;
    std::uint32_t certainCrashes = 1;
};

template<typename F>
void visitFields(F &&f, Fields<EarlierTask> auto &&v)
{
    f(v.lastRun);
    f(v.failures);
    f(v.done);
    f(v.checkpoint);
    f(v.active);
    f(v.suspectedCrashes);
    f(v.crashes);
    f(v.certainCrashes);
}

} // namespace

TEST_CASE("A job is not given up for an order without an answer and a crash of many suspects")
{
    EvidenceFixture fixture;
    CHECK(fixture.crashUntilGivenUp({{11, true}, AloneUnconfirmed}) == 0);
}

TEST_CASE("A task that no minion has certainly started is never given up")
{
    EvidenceFixture fixture;
    CHECK(fixture.crashUntilGivenUp(std::vector<RunCrash>(20, AloneUnconfirmed)) == 0);
    CHECK(fixture.crashUntilGivenUp(std::vector<RunCrash>(20, SharedUnconfirmed)) == 0);
}

TEST_CASE("A task that crashes every minion crashes at most three once it starts apart")
{
    // The minion may crash before it confirms a start: the first one, and one of those apart.
    for (const RunCrash &first : {Shared, SharedUnconfirmed, Alone, AloneUnconfirmed}) {
        for (std::size_t unconfirmed = 0; unconfirmed < 3; ++unconfirmed) {
            std::vector<RunCrash> crashes{first, Alone, Alone, Alone};
            crashes[1 + unconfirmed] = AloneUnconfirmed;
            EvidenceFixture fixture;
            INFO(first.suspects << " " << first.hasStarted << " " << unconfirmed);
            const std::size_t needed = fixture.crashUntilGivenUp(crashes);
            CHECK(needed >= 2);
            CHECK(needed <= 3);
        }
    }
}

TEST_CASE("Crash counts stored by earlier versions are read as before")
{
    const auto task = decode<Task>(encode(EarlierTask{}));
    REQUIRE(task);
    CHECK(task->suspectedCrashes == 2);
    CHECK(task->crashes == 1);
    CHECK(task->certainCrashes == 1);
    CHECK_FALSE(task->isGivenUp());
    EarlierTask twice;
    twice.crashes = 2;
    CHECK(decode<Task>(encode(twice))->isGivenUp());
}
