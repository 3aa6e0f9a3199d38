#include "Runtime/messenger.h"

#include "Runtime/log.h"

#include <fmt/format.h>

namespace Oleander {

Messenger::Messenger(EventLoop &loop, std::string name, std::uint64_t incarnation)
    : loop_(loop), name_(std::move(name)), incarnation_(incarnation), inbox_(loop)
{
    inbox_.received.connect([this](Frame &&frame) { receive(std::move(frame)); });
    inbox_.malformed.connect([](const Error &error) { logEvent(LogEvent::FrameMalformed, error); });
}

Result<std::string> Messenger::listen(const std::string &address)
{
    return inbox_.listen(address);
}

void Messenger::addPeer(const std::string &peer, const std::string &address)
{
    auto &outbox = peers_[peer];
    if (outbox && outbox->address() == address)
        return;
    if (outbox)
        bytesSentToRemovedPeers_ += outbox->bytesSent();
    outbox = std::make_unique<Outbox>(loop_, address);
    outbox->received.connect([this](Frame &&frame) { receive(std::move(frame)); });
    outbox->malformed.connect(
        [](const Error &error) { logEvent(LogEvent::FrameMalformed, error); });
    outbox->connectionChanged.connect([this, peer](bool up) {
        logEvent(up ? LogEvent::PeerConnected : LogEvent::PeerLost, Step::Connect, peer);
        connectionChanged.emit(peer, up);
    });
}

std::vector<std::string> Messenger::peers() const
{
    std::vector<std::string> names;
    for (const auto &[name, outbox] : peers_)
        names.push_back(name);
    return names;
}

void Messenger::removePeer(const std::string &peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    bytesSentToRemovedPeers_ += found->second->bytesSent();
    peers_.erase(found);
}

bool Messenger::connected(const std::string &peer) const
{
    const auto found = peers_.find(peer);
    return (found != peers_.end() && found->second->connected()) || inbox_.hasConnectionFrom(peer);
}

Result<void> Messenger::send(const std::string &peer, Message message,
                             std::uint64_t targetIncarnation)
{
    const auto found = peers_.find(peer);
    const bool hasOutbox = found != peers_.end();
    // While the own connection to a peer is down, messages use the one that the peer has opened.
    const bool viaInbox =
        inbox_.hasConnectionFrom(peer) && !(hasOutbox && found->second->connected());
    if (!hasOutbox && !viaInbox) {
        return fail(Failure::Unavailable, Step::Send, peer,
                    fmt::format("No address is known for the peer \"{}\".", peer));
    }
    Frame frame;
    frame.sender = name_;
    frame.incarnation = incarnation_;
    frame.targetIncarnation = targetIncarnation;
    frame.configurationVersion = configurationVersion_;
    frame.message = std::move(message);
    auto sent = viaInbox ? inbox_.reply(peer, frame) : found->second->send(frame);
    if (!sent)
        sent.error().peer = peer;
    return sent;
}

std::uint64_t Messenger::bytesSent() const
{
    std::uint64_t total = bytesSentToRemovedPeers_;
    for (const auto &[peer, outbox] : peers_)
        total += outbox->bytesSent();
    return total;
}

void Messenger::receive(Frame &&frame)
{
    if (frame.targetIncarnation != 0 && frame.targetIncarnation != incarnation_) {
        ++wrongIncarnationFrames_;
        return;
    }
    const Sender sender{frame.sender, frame.incarnation, frame.configurationVersion};
    frameReceived.emit(sender);
    for (const auto &handler : handlers_[frame.message.index()])
        handler(sender, frame.message);
}

} // namespace Oleander
