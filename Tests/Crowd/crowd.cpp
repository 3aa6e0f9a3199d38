#include "crowd.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Oleander::Testing {

namespace {

constexpr int SmallReceiveBuffer = 1'000;
constexpr int PollMs = 10;

} // namespace

CrowdClient::CrowdClient(const std::string &address, const ClientScript *script)
    : script_(script)
    , socket_(Socket::connectingTo(address, script->reads ? 0 : SmallReceiveBuffer))
{}

pollfd CrowdClient::wait(Time now) const
{
    const bool sends = now >= nextWrite_ && !nextBytes().empty();
    const int events = (script_->reads ? POLLIN : 0) | (sends ? POLLOUT : 0);
    return {socket_.descriptor(), static_cast<short>(events), 0};
}

std::uint64_t CrowdClient::advance(short ready, Time now)
{
    char discarded[65536];
    bool isClosed = (ready & (POLLERR | POLLHUP)) != 0;
    if (!isClosed && (ready & POLLIN) != 0)
        isClosed = recv(socket_.descriptor(), discarded, sizeof(discarded), 0) <= 0;
    if (isClosed)
        socket_ = Socket();
    return isOpen() && (ready & POLLOUT) != 0 ? send(now) : 0;
}

std::string_view CrowdClient::nextBytes() const
{
    std::uint64_t at = sent_;
    if (at < script_->head.size())
        return std::string_view(script_->head).substr(at);
    at -= script_->head.size();
    if (at < script_->piece.size() * script_->repetitions)
        return std::string_view(script_->piece).substr(at % script_->piece.size());
    at -= script_->piece.size() * script_->repetitions;
    return std::string_view(script_->tail)
        .substr(std::min<std::uint64_t>(at, script_->tail.size()));
}

std::uint64_t CrowdClient::send(Time now)
{
    const std::string_view bytes = nextBytes().substr(0, script_->bytesPerWrite);
    const ssize_t count = ::send(socket_.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN)
            socket_ = Socket();
        return 0;
    }
    nextWrite_ = now + script_->pause;
    sent_ += static_cast<std::uint64_t>(count);
    return static_cast<std::uint64_t>(count);
}

Crowd::Crowd(const std::string &address, ClientScript script, std::size_t clients)
    : script_(std::move(script))
{
    clients_.reserve(clients);
    for (std::size_t i = 0; i < clients; ++i)
        clients_.emplace_back(address, &script_);
    thread_ = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    stopping_ = true;
    thread_.join();
}

void Crowd::run()
{
    std::vector<pollfd> waits;
    while (!stopping_) {
        std::erase_if(clients_, [](const CrowdClient &client) { return !client.isOpen(); });
        const auto now = std::chrono::steady_clock::now();
        waits.clear();
        for (const CrowdClient &client : clients_)
            waits.push_back(client.wait(now));
        if (poll(waits.data(), waits.size(), PollMs) <= 0)
            continue;
        for (std::size_t i = 0; i < clients_.size(); ++i)
            sentBytes_ += clients_[i].advance(waits[i].revents, now);
    }
}

} // namespace Oleander::Testing
