#include "Soak/callers.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>

namespace Oleander::Testing {

namespace {

/** Limit against hanging; a deadline of a request is far below. */
constexpr std::chrono::seconds HangLimit(60);
constexpr std::chrono::milliseconds Pause(40);
/** After a call without success, so that refusals do not outnumber the other calls. */
constexpr std::chrono::milliseconds PauseAfterFailure(100);
constexpr int DeadlineMs = 4000;
constexpr std::size_t MaxResends = 5;
constexpr std::size_t MaxEchoBytes = 20'000;

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** Reads status and header fields; \a head ends before the empty line. */
void parseHead(const std::string &head, HttpReply &reply)
{
    reply = {};
    reply.status = std::atoi(head.substr(std::min<std::size_t>(head.size(), 9), 3).c_str());
    for (std::size_t at = head.find("\r\n"); at != std::string::npos;) {
        const auto first = at + 2;
        at = head.find("\r\n", first);
        const auto line = head.substr(first, at == std::string::npos ? at : at - first);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        reply.headers[lowerCase(line.substr(0, colon))] = value;
    }
}

std::string outcomeIn(const std::string &body)
{
    const std::string field = R"("outcome":")";
    const auto at = body.find(field);
    if (at == std::string::npos)
        return {};
    const auto first = at + field.size();
    return body.substr(first, body.find('"', first) - first);
}

/** Whether the end of the connection has arrived; bytes that nobody asked for are left to read. */
bool isClosedByPeer(const Socket &socket)
{
    char byte = 0;
    const ssize_t count = recv(socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

} // namespace

CallEnd CallerConnection::call(const HttpCall &call, HttpReply &reply)
{
    if (!socket_.valid() || isClosedByPeer(socket_))
        socket_ = Socket::connectedTo(address_);
    if (!socket_.valid())
        return CallEnd::NotConnected;
    std::string bytes = call.method + ' ' + call.path + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
    for (const auto &header : call.headers)
        bytes += header.name + ": " + header.value + "\r\n";
    bytes += fmt::format("Content-Length: {}\r\n\r\n{}", call.body.size(), call.body);
    // A failure to send shows as the end of the connection, after an answer that came before it.
    socket_.sendAll(bytes);
    const CallEnd end = receive(reply);
    if (end != CallEnd::Answered || lowerCase(reply.headers["connection"]) == "close")
        socket_ = Socket();
    return end;
}

CallEnd CallerConnection::receive(HttpReply &reply)
{
    const auto end = std::chrono::steady_clock::now() + HangLimit;
    std::string bytes;
    for (;;) {
        const auto headEnd = bytes.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            parseHead(bytes.substr(0, headEnd), reply);
            const auto length = std::strtoull(reply.headers["content-length"].c_str(), nullptr, 10);
            if (bytes.size() >= headEnd + 4 + length) {
                // Bytes beyond the length are part of the body that the checks see.
                reply.body = bytes.substr(headEnd + 4);
                return CallEnd::Answered;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        pollfd wait{socket_.descriptor(), POLLIN, 0};
        if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0)
            return CallEnd::TimedOut;
        char buffer[16384];
        const ssize_t count = recv(socket_.descriptor(), buffer, sizeof(buffer), 0);
        if (count <= 0)
            return CallEnd::Cut;
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

/** A request and the body that its answer must have. */
struct Callers::Request
{
    std::string name;
    HttpCall call;
    bool idempotent = false;
    bool keyed = false;
    bool echo = false;
};

Callers::Callers(const SoakPlan &plan, std::vector<SoakDoor> doors)
    : plan_(plan), doors_(std::move(doors))
{
    for (std::size_t caller = 0; caller < doors_.size() * plan.callersPerEntry; ++caller)
        threads_.emplace_back([this, caller] { run(caller); });
}

void Callers::stop()
{
    stopping_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

std::vector<CallRecord> Callers::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

Callers::Request Callers::drawRequest(const std::string &name, SoakRandom &random) const
{
    Request request;
    request.name = name;
    request.idempotent = random.between(0, 2) == 0;
    request.keyed = !request.idempotent && random.between(0, 1) == 0;
    request.echo = !request.idempotent && random.between(0, 3) == 0;
    request.call.method = request.idempotent ? "GET" : "POST";
    request.call.path = "/notices/p/" + name;
    request.call.headers = {
        {"Standin-Delay-Ms", std::to_string(random.between(0, plan_.maxAnswerMs))},
        {"Oleander-Timeout-Ms", std::to_string(DeadlineMs)}};
    if (request.keyed)
        request.call.headers.push_back({"Idempotency-Key", name});
    if (request.echo) {
        request.call.headers.push_back({"Standin-Mode", "echo"});
        while (request.call.body.size() < random.between(1, MaxEchoBytes))
            request.call.body += name + ' ';
    }
    return request;
}

void Callers::run(std::size_t caller)
{
    SoakRandom random(plan_.seed * 1000 + caller);
    std::vector<CallerConnection> connections;
    connections.reserve(doors_.size());
    for (const auto &door : doors_)
        connections.emplace_back(door.address);
    const std::size_t home = caller % doors_.size();
    for (std::size_t number = 0; !stopping_; ++number) {
        const auto request = drawRequest(fmt::format("c{}-{}", caller, number), random);
        // A request with a key is sent again until it is answered, and once more after its answer.
        bool isAnswered = false;
        for (std::size_t resend = 0; resend <= MaxResends; ++resend) {
            const std::size_t door = (home + resend) % doors_.size();
            const auto record = send(request, resend, door, connections[door]);
            const bool hasEnded = isAnswered || !request.keyed || record.outcome == "unknown";
            isAnswered = record.status == 200;
            std::this_thread::sleep_for(isAnswered ? Pause : PauseAfterFailure);
            if (hasEnded || stopping_)
                break;
        }
    }
}

CallRecord Callers::send(const Request &request, std::size_t resend, std::size_t door,
                         CallerConnection &connection)
{
    CallRecord record;
    record.request = request.name;
    record.id = fmt::format("{}.{}", request.name, resend);
    record.idempotent = request.idempotent;
    record.entry = doors_[door].entry;
    HttpCall call = request.call;
    call.headers.push_back({"Standin-Request", record.id});
    HttpReply reply;
    record.begin = soakNow();
    record.result = connection.call(call, reply);
    record.end = soakNow();
    record.inGracefulPart = isGracefulPart_;
    if (record.result == CallEnd::Answered) {
        record.status = reply.status;
        if (reply.status != 200) {
            record.outcome = outcomeIn(reply.body);
            record.isOwnAnswer = !record.outcome.empty();
        } else if (request.echo) {
            record.isOwnAnswer = reply.body == call.body;
        } else {
            // The answer to a resend may be that of an earlier call under the same key.
            const bool namesRequest =
                request.keyed ? reply.body.find(" id=" + request.name + '.') != std::string::npos
                              : reply.body.find(" id=" + record.id + ' ') != std::string::npos;
            record.isOwnAnswer =
                namesRequest && reply.body.ends_with(" path=/p/" + request.name + '\n');
        }
    }
    {
        const std::lock_guard lock(mutex_);
        records_.push_back(record);
    }
    ++completed_;
    return record;
}

} // namespace Oleander::Testing
