#pragma once

#include "Fleet/miniontask.h"
#include "platformcodec.h"
#include "Support/loopback.h"
#include "Support/rununtil.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Testing {

using Json = nlohmann::json;

constexpr std::uint64_t FirstBirth = 100;
/** Limit of the ends that a minion of the platform lists at a time. */
constexpr std::size_t MaxListedEnds = 500;
inline const TaskRef First{"5c0e7a21d94b36f8", 0, 0};

/** A scripted minion and the MinionTask that tracks it. */
struct ScriptedMinion
{
    EventLoop loop;
    std::string address = Loopback::freeAddress(Loopback::nextHost());
    /** Instance of the process that listens at the address. */
    MinionLife life{"i-1", FirstBirth};
    std::unique_ptr<HttpServer> server;
    Fleet::MinionTask task{loop, Platform::platformCodec(), address};
    std::uint64_t clockMs = 1'000;
    std::uint64_t acknowledgedEnd = 0;
    /** Highest fencing token that the process has seen; calls with a lower one do nothing. */
    std::uint64_t fence = 0;
    /** Calls that the process has received, with their fencing tokens. */
    std::vector<Json> calls;
    /** True if the start orders of sendDirective() are the first ones of their runs. */
    bool ordersAreFirst = true;
    /** HTTP status of the answers to starts; 0 for no answer. */
    unsigned startStatus = 200;
    bool answersStops = true;
    /** Number of the next stops that are left unanswered although answersStops is set. */
    std::size_t unansweredStops = 0;
    std::vector<Json> starts;
    std::vector<Json> polls;
    /** Active runs, as rows of the list "running". */
    std::vector<Json> running;
    /** Ended runs, as rows of the list "finished"; a poll returns those after its ackCursor, at
     * most MaxListedEnds at a time. */
    std::vector<Json> ends;
    std::size_t stops = 0;
    /** Number of starts received before the latest stop. */
    std::size_t startsBeforeStop = 0;
    std::vector<std::shared_ptr<HttpExchange>> unansweredRequests;
    std::uint64_t reports = 0;

    ScriptedMinion()
    {
        listen();
        announce();
        runUntil([this] { return isTracked(); });
    }

    /** Sends an announcement of \a instance, whatever process listens at the address. */
    void announceInstance(const MinionLife &instance, std::uint64_t sequence = 1,
                          std::uint32_t milliCores = 1'000, bool draining = false)
    {
        Fleet::MinionAnnouncement announcement;
        announcement.minion.life = instance;
        announcement.minion.milliCores = milliCores;
        announcement.minion.draining = draining;
        announcement.sequence = sequence;
        announcement.clockMs = clockMs;
        task.handleAnnouncement(announcement);
    }

    void announce(std::uint64_t sequence = 1, std::uint32_t milliCores = 1'000)
    {
        announceInstance(life, sequence, milliCores);
    }

    void listen()
    {
        server = std::make_unique<HttpServer>(
            loop, HttpLimits{},
            [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); });
        REQUIRE(server->listen(address));
    }

    /** Ends the process; its connections close. */
    void crash()
    {
        unansweredRequests.clear();
        server.reset();
    }

    /** Replaces the process by one of \a next, whose clock and lists start anew. */
    void replaceBy(const MinionLife &next)
    {
        crash();
        life = next;
        clockMs = 1;
        fence = 0;
        calls.clear();
        running.clear();
        starts.clear();
        polls.clear();
        listen();
    }

    /** Crashes the minion and starts it again under its id. */
    void restart() { replaceBy({life.name, life.bornMs + 1}); }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        constexpr unsigned MisdirectedRequest = 421;
        constexpr unsigned Conflict = 409;
        const std::string &path = exchange->request().path;
        Json body = {{"clockMs", clockMs}};
        if (exchange->request().header("Oleanderusher-Expected-Instance") != life.name)
            return exchange->respond({MisdirectedRequest, {}, body.dump()});
        calls.push_back(Json::parse(exchange->request().body));
        if (isOutdated(calls.back())) {
            body["reason"] = "fence";
            return exchange->respond({Conflict, {}, body.dump()});
        }
        fence = calls.back().at("fence");
        if (path.ends_with("hold")) {
            polls.push_back(Json::parse(exchange->request().body));
            body["born"] = life.bornMs;
            body["running"] = running;
            body["finished"] = listedEnds(polls.back().at("ackCursor"));
            return exchange->respond({200, {}, body.dump()});
        }
        if (path.ends_with("run-stop")) {
            ++stops;
            startsBeforeStop = starts.size();
            const bool isUnanswered = unansweredStops > 0;
            unansweredStops -= isUnanswered ? 1 : 0;
            if (answersStops && !isUnanswered)
                return exchange->respond({200, {}, body.dump()});
        } else if (path.ends_with("run-start")) {
            starts.push_back(Json::parse(exchange->request().body));
            if (startStatus != 0)
                return exchange->respond({startStatus, {}, body.dump()});
        }
        unansweredRequests.push_back(exchange);
    }

    /** True if the process does nothing for \a call because of its fencing token. */
    bool isOutdated(const Json &call) const { return call.at("fence") < fence; }

    /** Returns the rows that a poll lists after the acknowledged end \a cursor. */
    Json listedEnds(std::uint64_t cursor) const
    {
        Json rows = Json::array();
        for (const Json &row : ends) {
            if (row.at(0) > cursor && rows.size() < MaxListedEnds)
                rows.push_back(row);
        }
        return rows;
    }

    /** Adds \a count ended runs of other tasks. */
    void addEnds(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::uint64_t number = ends.size() + 1;
            ends.push_back(
                Json::array({number, First.job + ".0.1." + std::to_string(i), 1, "done", ""}));
        }
    }

    /** Answers the unanswered requests. */
    void answerAll()
    {
        for (const auto &exchange : std::exchange(unansweredRequests, {}))
            exchange->respond({200, {}, Json{{"clockMs", clockMs}}.dump()});
    }

    void sendDirective(std::uint64_t holdUntilMs, bool start, std::uint32_t run = 1)
    {
        MachineDirective directive;
        directive.term = 1;
        directive.life = {"i-1", FirstBirth};
        directive.holdUntilMs = holdUntilMs;
        directive.acknowledgedEnd = acknowledgedEnd;
        if (start) {
            StartOrder order;
            order.task = First;
            order.run = run;
            order.isFirstOrder = ordersAreFirst;
            directive.starts.push_back(order);
        }
        task.handleDirective(directive);
    }

    void sendStop()
    {
        MachineDirective directive;
        directive.term = 1;
        directive.life = {"i-1", FirstBirth};
        directive.stops.push_back({First, 1});
        task.handleDirective(directive);
    }

    MachineReport report() { return task.makeReport(++reports); }
    bool reportsRefusal() { return !report().refused.empty(); }

    /** True if the process at the address is the instance that the reports name. */
    bool isTracked()
    {
        const MachineReport latest = report();
        return latest.hasMinion && latest.minion.life == life;
    }

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }

    /** Runs until the minion has been polled \a count more times. */
    void runPolls(std::size_t count)
    {
        const std::size_t before = polls.size();
        runUntil([&] { return polls.size() >= before + count; });
    }
};

} // namespace Oleander::Testing
