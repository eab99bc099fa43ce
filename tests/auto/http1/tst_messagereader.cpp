// Which bytes form a message, where it ends, and which ones are rejected.

#include <http1/messagereader.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Http1;

namespace {

struct ReadMessages
{
    std::vector<RequestHead> requests;
    std::vector<std::pair<ResponseHead, Framing>> responses;
    std::string body;
    int complete = 0;
};

auto makeReader(MessageKind kind, ReadMessages &messages, const MessageLimits &limits = {})
    -> MessageReader
{
    MessageReader::Events events;
    events.onRequest = [&messages](const RequestHead &head) { messages.requests.push_back(head); };
    events.onResponse = [&messages](const ResponseHead &head, Framing framing) {
        messages.responses.emplace_back(head, framing);
    };
    events.onBody = [&messages](std::string_view data) { messages.body += data; };
    events.onComplete = [&messages] { ++messages.complete; };
    return {kind, limits, std::move(events)};
}

struct RejectCase
{
    const char *name;
    std::string bytes;
    ReadError error;
};

} // namespace

TEST(MessageReader, RejectsBytesThatParsersInterpretDifferently)
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: x\r\n";
    const std::vector<RejectCase> table = {
        {"both length and chunks",
         start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         ReadError::Malformed},
        {"two lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
         ReadError::Malformed},
        {"bare line feed", "GET /a HTTP/1.1\nHost: x\r\n\r\n", ReadError::Malformed},
        {"bare line feed in a field", start + "A: b\nC: d\r\n\r\n", ReadError::Malformed},
        {"folded line", start + "A: b\r\n c\r\n\r\n", ReadError::Malformed},
        {"space before colon", start + "A : b\r\n\r\n", ReadError::Malformed},
        {"unknown coding", start + "Transfer-Encoding: chunked, gzip\r\n\r\n",
         ReadError::Malformed},
        {"signed length", start + "Content-Length: +3\r\n\r\nabc", ReadError::Malformed},
        {"no request", "hello\r\n\r\n", ReadError::Malformed},
        {"NUL", start + std::string("A: b\0c\r\n\r\n", 10), ReadError::Malformed},
    };
    for (const RejectCase &one : table) {
        ReadMessages messages;
        auto reader = makeReader(MessageKind::Request, messages);
        reader.feed(one.bytes);
        EXPECT_EQ(reader.error(), one.error) << one.name;
        EXPECT_EQ(messages.complete, 0) << one.name;
    }
}

TEST(MessageReader, EnforcesItsLimits)
{
    ReadMessages messages;
    const MessageLimits limits{64, 8};
    auto large = makeReader(MessageKind::Request, messages, limits);
    large.feed("GET /" + std::string(100, 'a') + " HTTP/1.1\r\n\r\n");
    EXPECT_EQ(large.error(), ReadError::HeadTooLarge);
    auto announced = makeReader(MessageKind::Request, messages, limits);
    announced.feed("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    EXPECT_EQ(announced.error(), ReadError::BodyTooLarge);
    auto chunked = makeReader(MessageKind::Request, messages, limits);
    chunked.feed(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n");
    EXPECT_EQ(chunked.error(), ReadError::BodyTooLarge);
    EXPECT_EQ(messages.complete, 0);
}

TEST(MessageReader, StopsAfterEachMessage)
{
    ReadMessages messages;
    auto reader = makeReader(MessageKind::Request, messages);
    const std::string first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
    const std::string both = first + "GET /b HTTP/1.1\r\n\r\n";
    EXPECT_EQ(reader.feed(both), first.size());
    EXPECT_EQ(messages.complete, 1);
    EXPECT_EQ(messages.body, "ok");
    reader.reset();
    EXPECT_EQ(reader.feed(both.substr(first.size())), both.size() - first.size());
    ASSERT_EQ(messages.requests.size(), 2U);
    EXPECT_EQ(messages.requests[1].target, "/b");
}

TEST(MessageReader, AnswerWithoutLengthEndsWithAnOrderlyEndOnly)
{
    ReadMessages messages;
    auto reader = makeReader(MessageKind::Response, messages);
    reader.feed("HTTP/1.1 200 OK\r\n\r\npart");
    EXPECT_EQ(messages.responses.at(0).second, Framing::UntilClose);
    EXPECT_FALSE(reader.isComplete());
    reader.finish();
    EXPECT_TRUE(reader.isComplete());
    EXPECT_EQ(messages.body, "part");
}

TEST(MessageReader, AnswerCutBeforeItsLengthIsTruncated)
{
    for (const std::string framing : {"Content-Length: 9", "Transfer-Encoding: chunked"}) {
        ReadMessages messages;
        auto reader = makeReader(MessageKind::Response, messages);
        reader.feed("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        reader.finish();
        EXPECT_EQ(reader.error(), ReadError::Truncated) << framing;
        EXPECT_EQ(messages.complete, 0) << framing;
    }
}

RC_GTEST_PROP(MessageReader, SplitInputReadsLikeWholeInput, (const std::vector<std::uint8_t> &cuts))
{
    const std::string bytes =
        "\r\nPOST /x?y=1 HTTP/1.1\r\nHost: h\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    ReadMessages messages;
    auto reader = makeReader(MessageKind::Request, messages);
    size_t at = 0;
    size_t cut = 0;
    while (at < bytes.size() && reader.error() == ReadError::None) {
        const size_t step = cuts.empty() ? bytes.size() : 1 + cuts[cut++ % cuts.size()] % 7;
        at += reader.feed(std::string_view(bytes).substr(at, step));
    }
    RC_ASSERT(messages.complete == 1);
    RC_ASSERT(messages.body == "hello world");
    RC_ASSERT(messages.requests.size() == 1U);
    RC_ASSERT(messages.requests[0].fields.value("a") == std::string_view("b"));
    RC_ASSERT(!messages.requests[0].fields.has("trailer"));
}
