// Crowds of clients that hold connections or don't read, and datagrams that are no messages. Tests
// named "Regression" pass on the code without resource limits; each of the others exceeds a bound
// there.

#include "rawengine.h"
#include "resourcefixture.h"

#include <random>

namespace {

/// More connections than the process may have descriptors.
constexpr int manyClients = 900;
constexpr int readerCount = 60;
/// Requests that run at a time at each server.
constexpr int serverCount = 10;
constexpr size_t answerBytes = 1900 << 10;
/// Of a stream, whose events the kernel takes in part for the reader.
constexpr size_t streamBytes = 3900 << 10;
constexpr size_t eventBytes = 60 << 10;

class ResourceConnections : public ResourceLimits
{
protected:
    /// Adds a service whose servers send each answer in one piece.
    auto addLargeAnswers() -> void
    {
        raw = std::make_unique<RawEngine>(*loop, [this](const RawEngine::Arrival &arrival) {
            const std::string head =
                "HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nAttempt-Id: " + arrival.attemptId + "\r\n";
            if (arrival.target.starts_with("/big/"))
                return raw->write(arrival.connection,
                                  head + "Content-Length: " + std::to_string(answerBytes)
                                      + "\r\n\r\n" + std::string(answerBytes, 'x'));
            std::string events;
            for (int id = 1; events.size() < streamBytes; ++id)
                events += Http1::formatChunk("id: " + std::to_string(id)
                                             + "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
            raw->write(arrival.connection,
                       head
                           + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n"
                           + events);
        });
        for (int i = 0; i < serverCount; ++i) {
            EmulatedEngine &engine = addEngine("i-big" + std::to_string(i), "big");
            engine.advertisedAddress = raw->address();
            engine.announce();
        }
    }

    auto sendDatagrams(const std::vector<std::string> &datagrams, int rounds) -> void
    {
        const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(peers.ip());
        to.sin_port = htons(peers.port());
        for (int i = 0; i < rounds && process->isRunning(); ++i) {
            for (const std::string &one : datagrams)
                ::sendto(fd, one.data(), one.size(), 0, reinterpret_cast<const sockaddr *>(&to),
                         sizeof to);
            runUntil([] { return false; }, 1ms);
            maxDescriptors = std::max(maxDescriptors, descriptors());
        }
        ::close(fd);
    }

    std::unique_ptr<RawEngine> raw;
};

} // namespace

// Guards against connections that take the descriptors that the process needs for its own.
TEST_F(ResourceConnections, Idle)
{
    checkCrowd(Port::Callers, manyClients, {""});
}

TEST_F(ResourceConnections, IdleAtReadinessAddress)
{
    checkCrowd(Port::Readiness, manyClients, {""});
}

TEST_F(ResourceConnections, IdleAtMetricsAddress)
{
    checkCrowd(Port::Metrics, manyClients, {""});
}

// Guards against connections that are kept after a request, like those of ordinary clients.
TEST_F(ResourceConnections, IdleAfterRequest)
{
    checkCrowd(Port::Callers, manyClients, {requestHead("/none/x", "crowd", "\r\n")});
}

// Guards against senders that stop inside a head after a few bytes at a time.
TEST_F(ResourceConnections, SlowHeads)
{
    checkCrowd(Port::Callers, manyClients, {requestHead("/file/x", "crowd", "X-Field: "), 8});
}

// Guards against senders that stop inside a small body after a few bytes at a time.
TEST_F(ResourceConnections, SlowBodies)
{
    checkCrowd(Port::Callers, manyClients,
               {requestHead("/file/x", "crowd", "Content-Length: 100\r\n\r\nbody"), 8});
}

// Guards against answers that are kept for clients that don't read them.
TEST_F(ResourceConnections, StoppedReadersOfAnswers)
{
    addLargeAnswers();
    checkCrowd(Port::Callers, readerCount,
               {requestHead("/big/x", "crowd", "Content-Length: 0\r\n\r\n"), 4096, 0, 4096});
}

// The same for readers that take a few bytes at a time.
TEST_F(ResourceConnections, SlowReadersOfAnswers)
{
    addLargeAnswers();
    checkCrowd(Port::Callers, readerCount,
               {requestHead("/big/x", "crowd", "Content-Length: 0\r\n\r\n"), 4096, 64, 4096});
}

// Guards against streams that are read from the server faster than by the client.
TEST_F(ResourceConnections, StoppedReadersOfStreams)
{
    addLargeAnswers();
    checkCrowd(Port::Callers, readerCount,
               {requestHead("/flow/x", "crowd", "Content-Length: 0\r\n\r\n"), 4096, 0, 4096});
}

TEST_F(ResourceConnections, SlowReadersOfStreams)
{
    addLargeAnswers();
    checkCrowd(Port::Callers, readerCount,
               {requestHead("/flow/x", "crowd", "Content-Length: 0\r\n\r\n"), 4096, 64, 4096});
}

// Guards against datagrams that end or block the process: random bytes, deep nesting, valid JSON
// with fields of unexpected types.
TEST_F(ResourceConnections, RegressionJunkDatagrams)
{
    ASSERT_NO_FATAL_FAILURE(startProcess());
    constexpr int rounds = 300;
    constexpr size_t longDatagram = 60000;
    std::mt19937 random(20261206);
    std::vector<std::string> datagrams = {
        "",
        "{}",
        "[]",
        "null",
        std::string(longDatagram, '['),
        std::string(longDatagram / 2, '[') + std::string(longDatagram / 2, ']'),
        "{\"a\":" + std::string(longDatagram / 2, '[') + std::string(longDatagram / 2, ']') + "}"};
    std::string nested;
    while (nested.size() < longDatagram)
        nested += "{\"a\":";
    datagrams.push_back(nested);
    for (const char *value : {"-1", "1e300", "\"\xff\"", "[]", "{}", "null", "true"}) {
        std::string message = "{\"\":0";
        for (const char *name :
             {"kind", "type", "name", "era", "fence", "version", "demand", "quota", "suspects",
              "permits", "leaving", "address", "servers", "rows", "gateways", "store"})
            message += ",\"" + std::string(name) + "\":" + value;
        datagrams.push_back(message + "}");
    }
    for (int i = 0; i < 20; ++i) {
        std::string junk(longDatagram, '\0');
        for (char &byte : junk)
            byte = static_cast<char>(random() & 0xffU);
        datagrams.push_back(std::move(junk));
    }
    sendDatagrams(datagrams, rounds);
    checkProcess();
}
