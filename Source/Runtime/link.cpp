#include "Runtime/link.h"

#include "Runtime/address.h"
#include "Runtime/framestream.h"

#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <algorithm>
#include <list>
#include <map>
#include <optional>

namespace Oleander {

namespace {

constexpr std::size_t MaxFrameBytes = 8U << 20U;
constexpr Duration MinRedialDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRedialDelay = std::chrono::milliseconds(500);
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
// The connecting side sends a keep-alive probe when it has received nothing for about one period
// and reconnects after the idle timeout. A connection can fail without a TCP reset, which only a
// missing reply to the probe reveals.
constexpr Duration ProbePeriod = std::chrono::seconds(1);
constexpr Duration DialerIdleTimeout = std::chrono::milliseconds(2'500);
// Several times the probe period, so that the connection of a live peer is never dropped.
constexpr Duration AcceptedIdleTimeout = std::chrono::seconds(10);
constexpr int ListenBacklog = 1024;

Result<std::string> encodeBounded(const Frame &frame, const std::string &peer)
{
    std::string bytes = encodeFrame(frame);
    if (bytes.size() > MaxFrameBytes) {
        return fail(Failure::TooLarge, Step::Send, peer,
                    fmt::format("A frame of {} bytes exceeds the limit of {} bytes.", bytes.size(),
                                MaxFrameBytes));
    }
    return bytes;
}

} // namespace

struct Inbox::Private
{
    struct Accepted
    {
        std::unique_ptr<FrameStream> stream;
        TimePoint lastReceivedAt;
        /** Name in the latest frame. */
        std::string sender;
    };

    EventLoop &loop;
    Inbox *owner;
    evconnlistener *listener = nullptr;
    std::uint64_t malformedFrames = 0;
    std::uint64_t bytes = 0;
    std::list<Accepted> accepted;
    std::map<std::string, Accepted *> bySender;
    std::unique_ptr<Timer> sweepTimer;

    void accept(evutil_socket_t descriptor)
    {
        auto &connection = accepted.emplace_back();
        connection.lastReceivedAt = loop.clock().now();
        FrameStreamEvents events;
        events.frame = [this, &connection](std::string_view frame) { receive(connection, frame); };
        events.ended = [this, &connection] { drop(connection); };
        connection.stream =
            std::make_unique<FrameStream>(loop, descriptor, MaxFrameBytes, std::move(events));
        connection.stream->enable();
    }

    void receive(Accepted &connection, std::string_view frameBytes)
    {
        connection.lastReceivedAt = loop.clock().now();
        if (frameBytes.empty()) {
            connection.stream->write({});
            return;
        }
        bytes += frameBytes.size();
        if (auto frame = decodeOrReport(frameBytes)) {
            connection.sender = frame->sender;
            bySender[connection.sender] = &connection;
            owner->received.emit(std::move(*frame));
        }
    }

    std::optional<Frame> decodeOrReport(std::string_view frameBytes)
    {
        auto frame = decodeFrame(frameBytes, {});
        if (frame)
            return std::move(*frame);
        ++malformedFrames;
        owner->malformed.emit(frame.error());
        return std::nullopt;
    }

    void drop(Accepted &connection)
    {
        const auto named = bySender.find(connection.sender);
        if (named != bySender.end() && named->second == &connection)
            bySender.erase(named);
        // The stream may be in use up the call stack, so it is destroyed in a later loop iteration;
        // it is closed now, so that nothing more arrives on it.
        connection.stream->close();
        auto parked = std::make_shared<std::list<Accepted>>();
        const auto found = std::find_if(accepted.begin(), accepted.end(),
                                        [&](const Accepted &item) { return &item == &connection; });
        parked->splice(parked->begin(), accepted, found);
        loop.post([parked] {});
    }

    void sweep()
    {
        const TimePoint now = loop.clock().now();
        for (auto it = accepted.begin(); it != accepted.end();) {
            Accepted &connection = *it++;
            if (now - connection.lastReceivedAt > AcceptedIdleTimeout)
                drop(connection);
        }
    }
};

Inbox::Inbox(EventLoop &loop) : private_(std::make_unique<Private>(Private{loop, this}))
{
    private_->sweepTimer =
        std::make_unique<Timer>(loop, [self = private_.get()] { self->sweep(); });
}

Inbox::~Inbox()
{
    if (private_->listener != nullptr)
        evconnlistener_free(private_->listener);
}

Result<std::string> Inbox::listen(const std::string &address)
{
    auto parsed = parseSocketAddress(address);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    sockaddr_in native = nativeAddress(*parsed);
    private_->listener = evconnlistener_new_bind(
        private_->loop.base(),
        [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self) {
            static_cast<Private *>(self)->accept(descriptor);
        },
        private_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
        reinterpret_cast<sockaddr *>(&native), sizeof native);
    if (private_->listener == nullptr) {
        return fail(Failure::Unavailable, Step::Connect, address,
                    fmt::format("The inbox cannot listen: {}.",
                                evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())));
    }
    socklen_t size = sizeof native;
    if (getsockname(evconnlistener_get_fd(private_->listener),
                    reinterpret_cast<sockaddr *>(&native), &size)
        == 0)
        parsed->port = ntohs(native.sin_port);
    private_->sweepTimer->startEvery(ProbePeriod);
    return parsed->text();
}

bool Inbox::hasConnectionFrom(const std::string &sender) const
{
    return private_->bySender.contains(sender);
}

Result<void> Inbox::reply(const std::string &sender, const Frame &frame)
{
    const auto found = private_->bySender.find(sender);
    if (found == private_->bySender.end()) {
        return fail(Failure::Unavailable, Step::Send, sender,
                    "There is no open connection from the peer.");
    }
    auto bytes = encodeBounded(frame, sender);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    if (!found->second->stream->write(*bytes))
        return fail(Failure::Overloaded, Step::Send, sender, "The send queue to the peer is full.");
    return {};
}

std::uint64_t Inbox::malformedFrames() const
{
    return private_->malformedFrames;
}

std::uint64_t Inbox::bytesReceived() const
{
    return private_->bytes;
}

struct Outbox::Private
{
    EventLoop &loop;
    Outbox *owner;
    std::string address;
    std::unique_ptr<FrameStream> stream;
    bool up = false;
    TimePoint lastReceivedAt;
    TimePoint dialedAt;
    Duration redialDelay = MinRedialDelay;
    std::uint64_t bytes = 0;
    std::unique_ptr<Timer> redialTimer;
    std::unique_ptr<Timer> probeTimer;

    void dial()
    {
        const auto parsed = parseSocketAddress(address);
        if (!parsed)
            return;
        const sockaddr_in native = nativeAddress(*parsed);
        FrameStreamEvents events;
        events.connected = [this] { connected(); };
        events.frame = [this](std::string_view frame) { receive(frame); };
        events.ended = [this] { ended(); };
        dialedAt = loop.clock().now();
        stream = std::make_unique<FrameStream>(loop, -1, MaxFrameBytes, std::move(events));
        if (!stream->connect(reinterpret_cast<const sockaddr *>(&native), sizeof native))
            ended();
    }

    void connected()
    {
        up = true;
        lastReceivedAt = loop.clock().now();
        redialDelay = MinRedialDelay;
        owner->connectionChanged.emit(true);
    }

    void receive(std::string_view frameBytes)
    {
        lastReceivedAt = loop.clock().now();
        if (frameBytes.empty())
            return;
        auto frame = decodeFrame(frameBytes, address);
        if (frame)
            owner->received.emit(std::move(*frame));
        else
            owner->malformed.emit(frame.error());
    }

    void ended()
    {
        std::shared_ptr<FrameStream> parked = std::move(stream);
        if (parked)
            parked->close();
        loop.post([parked] {});
        redialTimer->startOnce(redialDelay);
        redialDelay = std::min(redialDelay * 2, MaxRedialDelay);
        if (std::exchange(up, false))
            owner->connectionChanged.emit(false);
    }

    void probe()
    {
        if (!stream)
            return;
        const TimePoint now = loop.clock().now();
        if (!up) {
            if (now - dialedAt > ConnectTimeout)
                ended();
            return;
        }
        if (now - lastReceivedAt > DialerIdleTimeout)
            ended();
        else if (now - lastReceivedAt >= ProbePeriod / 2)
            stream->write({});
    }
};

Outbox::Outbox(EventLoop &loop, std::string address)
    : private_(std::make_unique<Private>(Private{loop, this, std::move(address)}))
{
    auto *self = private_.get();
    self->redialTimer = std::make_unique<Timer>(loop, [self] { self->dial(); });
    self->probeTimer = std::make_unique<Timer>(loop, [self] { self->probe(); });
    self->probeTimer->startEvery(ProbePeriod);
    self->dial();
}

Outbox::~Outbox()
{
    // The stream may be in use up the call stack, so it is destroyed in a later loop iteration.
    if (std::shared_ptr<FrameStream> parked = std::move(private_->stream)) {
        parked->close();
        private_->loop.post([parked] {});
    }
}

bool Outbox::connected() const
{
    return private_->up;
}

Result<void> Outbox::send(const Frame &frame)
{
    if (!connected()) {
        return fail(Failure::Unavailable, Step::Send, private_->address,
                    "There is no connection to the peer.");
    }
    auto bytes = encodeBounded(frame, private_->address);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    if (!private_->stream->write(*bytes)) {
        return fail(Failure::Overloaded, Step::Send, private_->address,
                    "The send queue to the peer is full.");
    }
    private_->bytes += bytes->size();
    return {};
}

const std::string &Outbox::address() const
{
    return private_->address;
}

std::uint64_t Outbox::bytesSent() const
{
    return private_->bytes;
}

} // namespace Oleander
