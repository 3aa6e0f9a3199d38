#include "Fleet/jobservice.h"

#include "Support/loopback.h"
#include "Support/rununtil.h"
#include "Support/temporaryfolder.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace Oleander;
using namespace Oleander::Fleet;

namespace {

/** The job service of a control group with one host, which leads it. */
struct LeadingService
{
    EventLoop loop;
    std::string link = Testing::Loopback::freeAddress(Testing::Loopback::nextHost());
    Testing::TemporaryFolder folder;
    Messenger messenger{loop, link, 1};
    State::ControlState state;
    ReplicaTask replica{loop, messenger, state, options()};
    JobService service;

    explicit LeadingService(JobServiceOptions serviceOptions = {})
        : service{loop, messenger, replica, state, serviceOptions}
    {
        REQUIRE(messenger.listen(link));
        replica.roleChanged.connect([this] { service.onRoleChanged(); });
        REQUIRE(replica.start());
        service.start();
        runUntil([this] { return replica.isLeader(); });
    }

    ReplicaTaskOptions options() const
    {
        ReplicaTaskOptions options;
        options.name = link;
        options.folder = folder.path() / "data";
        options.replicas = {link};
        return options;
    }

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }

    /** Passes \a body to the service and stores the answer in \a answer when it comes. */
    void serve(const JobCallBody &body, std::optional<JobAnswerKind> &answer)
    {
        REQUIRE(service.serve(body, [&answer](const JobAnswer &given) { answer = given.kind; }));
    }

    /** Requests or withdraws the evacuation of "west" with the version \a expected. */
    JobAnswer changeWest(bool requested, const EvacuationVersion &expected)
    {
        std::optional<JobAnswer> answer;
        REQUIRE(service.serve(EvacuationCall{"west", requested, expected},
                              [&answer](const JobAnswer &given) { answer = given; }));
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

    JobAnswerKind serveAndWait(const JobCallBody &body)
    {
        std::optional<JobAnswerKind> answer;
        serve(body, answer);
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }
};

constexpr const char *Host = "press.example";
constexpr const char *Prefix = "/press/";
constexpr const char *FirstId = "00000000000000a1";
constexpr const char *SecondId = "00000000000000a2";

ConfigureCall configureCall(std::uint64_t version, const std::string &queue,
                            const std::string &pathPrefix = Prefix)
{
    QueueSpec spec;
    spec.name = queue;
    spec.host = Host;
    spec.pathPrefix = pathPrefix;
    spec.service = "notices";
    return {{version, "document " + std::to_string(version), {spec}}};
}

SubmitCall submitCall(const std::string &id)
{
    StepSpec step;
    step.count = 1;
    return {Host, Prefix + id, {id, "work", {step}}};
}

} // namespace

TEST_CASE("A job whose queue is replaced before its submission takes effect is accepted by the "
          "queue that serves its path")
{
    // The job was accepted by a queue that did not exist any more, and never started.
    LeadingService leader;
    REQUIRE(leader.serveAndWait(configureCall(1, "old")) == JobAnswerKind::Accepted);
    const bool hasStoredJob = GENERATE(false, true);
    if (hasStoredJob)
        REQUIRE(leader.serveAndWait(submitCall(FirstId)) == JobAnswerKind::Accepted);
    std::optional<JobAnswerKind> submitted;
    std::optional<JobAnswerKind> configured;
    leader.serve(submitCall(SecondId), submitted);
    leader.serve(configureCall(2, "new"), configured);
    leader.runUntil([&] { return submitted && configured; });
    CHECK(*submitted == JobAnswerKind::Accepted);
    REQUIRE(leader.state.jobs().find(SecondId) != nullptr);
    CHECK(leader.state.jobs().find(SecondId)->queue == "new");
}

TEST_CASE("A job whose route is removed before its submission takes effect is not accepted")
{
    LeadingService leader;
    REQUIRE(leader.serveAndWait(configureCall(1, "old")) == JobAnswerKind::Accepted);
    std::optional<JobAnswerKind> submitted;
    std::optional<JobAnswerKind> configured;
    leader.serve(submitCall(FirstId), submitted);
    leader.serve(configureCall(2, "new", "/other/"), configured);
    leader.runUntil([&] { return submitted && configured; });
    CHECK(*submitted == JobAnswerKind::NoSuchQueue);
    CHECK(leader.state.jobs().find(FirstId) == nullptr);
}

TEST_CASE("Each call of a batch gets its own answer when some of its jobs are not accepted")
{
    LeadingService leader;
    REQUIRE(leader.serveAndWait(configureCall(1, "old")) == JobAnswerKind::Accepted);
    REQUIRE(leader.serveAndWait(submitCall(FirstId)) == JobAnswerKind::Accepted);
    std::optional<JobAnswerKind> cancelled;
    std::optional<JobAnswerKind> submitted;
    std::optional<JobAnswerKind> repeated;
    std::optional<JobAnswerKind> configured;
    leader.serve(CancelCall{Host, std::string(Prefix) + FirstId}, cancelled);
    leader.serve(submitCall(SecondId), submitted);
    leader.serve(submitCall(SecondId), repeated);
    leader.serve(configureCall(2, "new"), configured);
    leader.runUntil([&] { return cancelled && submitted && repeated && configured; });
    CHECK(*cancelled == JobAnswerKind::Accepted);
    CHECK(*submitted == JobAnswerKind::Accepted);
    CHECK(*repeated == JobAnswerKind::Accepted);
    CHECK(leader.state.jobs().find(FirstId)->state == JobState::Cancelled);
    CHECK(leader.state.jobs().find(SecondId)->queue == "new");
}

// Clients that submit legal jobs without end could fill the memory of every control host.
TEST_CASE("A job beyond the memory for stored jobs is refused and certainly not stored")
{
    JobServiceOptions options;
    options.maxStoredBytes =
        Jobs::JobBook::bytesOf(submitCall(FirstId).job.steps, submitCall(FirstId).job.spec);
    LeadingService leader(options);
    REQUIRE(leader.serveAndWait(configureCall(1, "old")) == JobAnswerKind::Accepted);
    std::optional<JobAnswerKind> first;
    std::optional<JobAnswerKind> second;
    leader.serve(submitCall(FirstId), first);
    leader.serve(submitCall(SecondId), second);
    leader.runUntil([&] { return first && second; });
    CHECK(*first == JobAnswerKind::Accepted);
    CHECK(*second == JobAnswerKind::Overloaded);
    CHECK(leader.serveAndWait(submitCall(SecondId)) == JobAnswerKind::Overloaded);
    CHECK(leader.serveAndWait(submitCall(FirstId)) == JobAnswerKind::Accepted);
    CHECK(leader.state.jobs().find(SecondId) == nullptr);
}

TEST_CASE("A delayed evacuation call does not revert a later one that changed nothing")
{
    // A call that finds its state in force leaves the revision as it was, so the revision alone
    // does not show that the delayed call is older.
    LeadingService leader;
    const EvacuationVersion first = leader.changeWest(true, {}).evacuation;
    CHECK(first.revision == 0);
    CHECK(first.term > 0);
    REQUIRE(leader.changeWest(false, first).kind == JobAnswerKind::Accepted);
    const JobAnswer delayed = leader.changeWest(true, first);
    CHECK(delayed.kind == JobAnswerKind::OutdatedEvacuation);
    CHECK_FALSE(leader.state.jobs().isEvacuated("west"));

    const JobAnswer requested = leader.changeWest(true, delayed.evacuation);
    REQUIRE(requested.kind == JobAnswerKind::Accepted);
    REQUIRE(leader.changeWest(true, requested.evacuation).kind == JobAnswerKind::Accepted);
    CHECK(leader.changeWest(false, requested.evacuation).kind == JobAnswerKind::OutdatedEvacuation);
    CHECK(leader.state.jobs().isEvacuated("west"));
}

TEST_CASE("A call with a version of an earlier term does not change an evacuation")
{
    // A former leader that leads again has no count of the calls that others processed meanwhile.
    LeadingService leader;
    EvacuationVersion version = leader.changeWest(true, {}).evacuation;
    --version.term;
    CHECK(leader.changeWest(true, version).kind == JobAnswerKind::OutdatedEvacuation);
    CHECK(leader.state.jobs().evacuations().empty());
}
