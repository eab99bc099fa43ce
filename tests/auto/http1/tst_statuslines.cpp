// Which statuses of an answer are accepted, and how a call ends whose answer has no valid one.

#include <http1/messagereader.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Http1;

namespace {

/// What a reader made of an answer.
struct ReadAnswer
{
    ReadError error = ReadError::None;
    std::vector<int> statuses;
};

auto read(const std::string &statusLine) -> ReadAnswer
{
    ReadAnswer answer;
    MessageReader::Events events;
    events.onResponse = [&answer](const ResponseHead &head, Framing) {
        answer.statuses.push_back(head.status);
    };
    events.onBody = [](std::string_view) {};
    events.onComplete = [] {};
    MessageReader reader(MessageKind::Response, MessageLimits(), std::move(events));
    reader.feed(statusLine + "\r\nContent-Length: 0\r\n\r\n");
    answer.error = reader.error();
    return answer;
}

} // namespace

// Guards against: a status that the parser library reads as another one, or as one that exists.
TEST(StatusLines, InvalidStatusesAreRejectedBeforeAnybodySeesThem)
{
    for (const char *line :
         {"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None",
          "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK",
          "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK",
          "HTTP/1.1 200OK", "HTTP/1.1 ", "HTTP/1.1"}) {
        const ReadAnswer answer = read(line);
        EXPECT_EQ(answer.error, ReadError::Malformed) << line;
        EXPECT_TRUE(answer.statuses.empty()) << line;
    }
}

// Guards against: a change of protocols that nobody asked for, taken for an interim answer.
TEST(StatusLines, ChangeOfProtocolsIsRejected)
{
    EXPECT_EQ(read("HTTP/1.1 101 Switching Protocols").error, ReadError::Malformed);
    EXPECT_EQ(read("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x").error,
              ReadError::Malformed);
}

TEST(StatusLines, ValidStatusesAreAccepted)
{
    for (const int status : {100, 103, 150, 199, 200, 204, 304, 421, 503, 599}) {
        for (const char *reason : {"", " ", " Some Reason 42"}) {
            const ReadAnswer answer = read("HTTP/1.1 " + std::to_string(status) + reason);
            EXPECT_EQ(answer.error, ReadError::None) << status << reason;
            EXPECT_EQ(answer.statuses, std::vector<int>{status}) << status << reason;
        }
    }
}
