#include "messagereader.h"

#include "headscan.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace Http1 {

struct MessageReader::Private
{
    MessageKind kind;
    MessageLimits limits;
    Events events;
    http_parser parser = {};
    std::string headBytes;
    std::string target;
    std::string fieldName;
    std::string fieldValue;
    bool valueBegun = false;
    Fields fields;
    size_t bodyBytes = 0;
    ReadError error = ReadError::None;
    bool headComplete = false;
    bool complete = false;
    std::uint64_t expectedBytes = 0; ///< Of the body, if its head tells.

    auto initialize() -> void
    {
        http_parser_init(&parser, kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        headBytes.clear();
        target.clear();
        fieldName.clear();
        fieldValue.clear();
        valueBegun = false;
        fields = {};
        bodyBytes = 0;
        headComplete = false;
        complete = false;
        expectedBytes = 0;
    }

    auto flushField() -> void
    {
        // Fields after the head are trailers of a chunked body, which are ignored.
        if (valueBegun && !headComplete)
            fields.add(std::move(fieldName), std::move(fieldValue));
        fieldName.clear();
        fieldValue.clear();
        valueBegun = false;
    }

    auto emitHead() -> void
    {
        flushField();
        headComplete = true;
        const bool keepAlive = http_should_keep_alive(&parser) != 0;
        if (kind == MessageKind::Request) {
            const char *method = http_method_str(static_cast<http_method>(parser.method));
            const bool supportsChunked = parser.http_major > 1 || parser.http_minor > 0;
            events.onRequest(
                {method, std::move(target), std::move(fields), keepAlive, supportsChunked});
            return;
        }
        const Framing framing = (parser.flags & F_CHUNKED) ? Framing::Chunked
            : isDelimitedByClose(&parser)                  ? Framing::UntilClose
                                                           : Framing::Length;
        events.onResponse({static_cast<int>(parser.status_code), std::move(fields), keepAlive},
                          framing);
    }

    static auto isDelimitedByClose(const http_parser *p) -> bool
    {
        constexpr int firstFinalStatus = 200;
        const int status = static_cast<int>(p->status_code);
        if (status < firstFinalStatus || status == HTTP_STATUS_NO_CONTENT
            || status == HTTP_STATUS_NOT_MODIFIED)
            return false;
        return !(p->flags & (F_CHUNKED | F_CONTENTLENGTH));
    }

    static auto self(http_parser *p) -> Private & { return *static_cast<Private *>(p->data); }

    static auto settings() -> const http_parser_settings &
    {
        static const http_parser_settings table = [] {
            http_parser_settings s = {};
            s.on_url = [](http_parser *p, const char *at, size_t n) {
                self(p).target.append(at, n);
                return 0;
            };
            s.on_header_field = [](http_parser *p, const char *at, size_t n) {
                if (self(p).valueBegun)
                    self(p).flushField();
                self(p).fieldName.append(at, n);
                return 0;
            };
            s.on_header_value = [](http_parser *p, const char *at, size_t n) {
                self(p).valueBegun = true;
                self(p).fieldValue.append(at, n);
                return 0;
            };
            s.on_headers_complete = [](http_parser *p) {
                Private &state = self(p);
                constexpr auto unknownLength = std::numeric_limits<std::uint64_t>::max();
                if (p->content_length != unknownLength
                    && p->content_length > state.limits.bodyBytes) {
                    state.error = ReadError::BodyTooLarge;
                    return -1;
                }
                state.expectedBytes = p->content_length == unknownLength ? 0 : p->content_length;
                state.emitHead();
                return 0;
            };
            s.on_body = [](http_parser *p, const char *at, size_t n) {
                Private &state = self(p);
                state.bodyBytes += n;
                if (state.bodyBytes > state.limits.bodyBytes) {
                    state.error = ReadError::BodyTooLarge;
                    return 1;
                }
                state.events.onBody({at, n});
                return 0;
            };
            s.on_message_complete = [](http_parser *p) {
                self(p).complete = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return table;
    }

    auto execute(std::string_view data) -> size_t
    {
        const size_t consumed = http_parser_execute(&parser, &settings(), data.data(), data.size());
        const auto code = HTTP_PARSER_ERRNO(&parser);
        if (complete)
            return consumed;
        if (code != HPE_OK && error == ReadError::None)
            error = ReadError::Malformed;
        if (parser.upgrade)
            error = ReadError::Malformed;
        return consumed;
    }

    auto consumeHead(std::string_view data) -> size_t
    {
        const size_t before = headBytes.size();
        const size_t remaining = limits.headBytes + 1 - std::min(before, limits.headBytes + 1);
        headBytes.append(data.substr(0, remaining));
        // The protocol allows empty lines before a request; they are ignored.
        size_t skipped = 0;
        while (kind == MessageKind::Request && headBytes.starts_with("\r\n")) {
            headBytes.erase(0, 2);
            skipped += 2;
        }
        size_t length = 0;
        switch (scanHead(headBytes, length)) {
        case HeadScan::Incomplete:
            if (headBytes.size() > limits.headBytes)
                error = ReadError::HeadTooLarge;
            return std::min(remaining, data.size());
        case HeadScan::Malformed:
            error = ReadError::Malformed;
            return data.size();
        case HeadScan::Complete:
            break;
        }
        if (length > limits.headBytes) {
            error = ReadError::HeadTooLarge;
            return data.size();
        }
        if (kind == MessageKind::Response && !hasValidStatus(headBytes)) {
            error = ReadError::Malformed;
            return data.size();
        }
        headBytes.resize(length);
        const std::string head = std::move(headBytes);
        std::string().swap(headBytes);
        execute(head);
        return length + skipped - before;
    }
};

MessageReader::MessageReader(MessageKind kind, const MessageLimits &limits, Events events)
    : d(std::make_unique<Private>())
{
    d->kind = kind;
    d->limits = limits;
    d->events = std::move(events);
    d->initialize();
}

MessageReader::~MessageReader() = default;

auto MessageReader::feed(std::string_view data) -> size_t
{
    size_t consumed = 0;
    while (consumed < data.size() && !d->complete && d->error == ReadError::None) {
        const std::string_view rest = data.substr(consumed);
        consumed += d->headComplete ? d->execute(rest) : d->consumeHead(rest);
    }
    if (d->complete)
        d->events.onComplete();
    return consumed;
}

auto MessageReader::headBytes() const -> size_t
{
    return d->headBytes.size();
}

auto MessageReader::expectedBodyBytes() const -> size_t
{
    return static_cast<size_t>(d->expectedBytes);
}

auto MessageReader::finish() -> void
{
    if (d->complete || d->error != ReadError::None || !hasBegun())
        return;
    if (!d->headComplete) {
        d->error = ReadError::Truncated;
        return;
    }
    http_parser_execute(&d->parser, &Private::settings(), nullptr, 0);
    if (d->complete)
        d->events.onComplete();
    else
        d->error = ReadError::Truncated;
}

auto MessageReader::reset() -> void
{
    d->initialize();
}

auto MessageReader::error() const -> ReadError
{
    return d->error;
}

auto MessageReader::isComplete() const -> bool
{
    return d->complete;
}

auto MessageReader::hasBegun() const -> bool
{
    return d->headComplete || !d->headBytes.empty();
}

auto MessageReader::headIsComplete() const -> bool
{
    return d->headComplete;
}

} // namespace Http1
