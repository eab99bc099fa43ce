#pragma once

#include "head.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Http1 {

enum class MessageKind { Request, Response };

/// Why the received bytes are not a valid message.
enum class ReadError {
    None,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    Truncated, ///< The peer closed the connection in the middle of a message.
};

/// Maximum sizes of one message.
struct MessageLimits
{
    size_t headBytes = 16 << 10;
    size_t bodyBytes = 64 << 20;
};

/// Reads HTTP/1.1 messages from a byte stream, one at a time (http_parser). It stops at the end of
/// each message; the bytes after it stay with the caller.
class MessageReader
{
public:
    struct Events
    {
        std::function<void(const RequestHead &)> onRequest;
        std::function<void(const ResponseHead &, Framing)> onResponse;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onComplete;
    };

    MessageReader(MessageKind kind, const MessageLimits &limits, Events events);
    ~MessageReader();

    /// Consumes bytes up to the end of the current message and returns how many were consumed.
    /// Consumes nothing after an error.
    auto feed(std::string_view data) -> size_t;
    /// Handles the orderly end of the stream, which completes a message without a length.
    auto finish() -> void;
    /// Prepares for the next message.
    auto reset() -> void;

    auto error() const -> ReadError;
    auto isComplete() const -> bool;
    /// True once a byte of the current message has been received.
    auto hasBegun() const -> bool;
    auto headIsComplete() const -> bool;
    /// Bytes of an incomplete head that are kept.
    auto headBytes() const -> size_t;
    /// Length of the body that the head names, or 0.
    auto expectedBodyBytes() const -> size_t;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Http1
