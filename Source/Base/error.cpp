#include "Base/error.h"

#include "Base/nametable.h"

#include <fmt/format.h>

namespace Oleander {

namespace {

constexpr NameTable<Step, 31> StepNames = {{
    {Step::None, "none"},       {Step::Settings, "settings"}, {Step::CommandLine, "command-line"},
    {Step::Connect, "connect"}, {Step::Decode, "decode"},     {Step::Accept, "accept"},
    {Step::Claim, "claim"},     {Step::Choose, "choose"},     {Step::Send, "send"},
    {Step::Admit, "admit"},     {Step::Start, "start"},       {Step::Run, "run"},
    {Step::Answer, "answer"},   {Step::Relay, "relay"},       {Step::Receive, "receive"},
    {Step::Append, "append"},   {Step::Commit, "commit"},     {Step::Spread, "spread"},
    {Step::Apply, "apply"},     {Step::Restart, "restart"},   {Step::Place, "place"},
    {Step::Order, "order"},     {Step::Report, "report"},     {Step::Checkpoint, "checkpoint"},
    {Step::Stop, "stop"},       {Step::Resume, "resume"},     {Step::Elect, "elect"},
    {Step::Sync, "sync"},       {Step::Snapshot, "snapshot"}, {Step::Join, "join"},
    {Step::Leave, "leave"},
}};

constexpr NameTable<Failure, 17> FailureNames = {{
    {Failure::InvalidInput, "invalid input"},
    {Failure::NotFound, "not found"},
    {Failure::Conflict, "conflict"},
    {Failure::NotLeader, "not the leader"},
    {Failure::Unavailable, "unavailable"},
    {Failure::Overloaded, "overloaded"},
    {Failure::DeadlineExceeded, "deadline exceeded"},
    {Failure::Refused, "refused"},
    {Failure::Cancelled, "cancelled"},
    {Failure::Corrupt, "corrupt data"},
    {Failure::StorageFull, "storage full"},
    {Failure::Io, "input/output error"},
    {Failure::Protocol, "protocol error"},
    {Failure::TooLarge, "too large"},
    {Failure::StaleConfiguration, "stale configuration"},
    {Failure::WrongIncarnation, "wrong incarnation"},
    {Failure::Unknown, "outcome unknown"},
}};

class FailureCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "oleander"; }
    std::string message(int value) const override
    {
        return std::string(nameIn(FailureNames, static_cast<Failure>(value)));
    }
};

} // namespace

std::string_view stepName(Step step)
{
    return nameIn(StepNames, step);
}

std::optional<Step> stepFromName(std::string_view name)
{
    return valueIn(StepNames, name);
}

const std::error_category &failureCategory()
{
    static const FailureCategory Category;
    return Category;
}

std::error_code make_error_code(Failure failure)
{
    return {static_cast<int>(failure), failureCategory()};
}

std::string Error::text() const
{
    if (peer.empty())
        return fmt::format("{} (step {})", detail, stepName(step));
    return fmt::format("{} (step {}, peer {})", detail, stepName(step), peer);
}

Error makeError(Failure failure, Step step, std::string peer, std::string detail)
{
    return Error{make_error_code(failure), step, std::move(peer), std::move(detail)};
}

} // namespace Oleander
