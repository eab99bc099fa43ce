// Crowds of clients that send large, unfinished or odd requests. Tests named "Regression" pass on
// the code without resource limits; each of the others exceeds a bound there.

#include "resourcefixture.h"

namespace {

constexpr int clientCount = 60;

using ResourceBodies = ResourceLimits;

/// A body of the given length in chunks.
auto chunked(size_t length, size_t chunkBytes) -> std::string
{
    std::string text;
    for (size_t done = 0; done < length; done += chunkBytes)
        text += Http1::formatChunk(std::string(std::min(chunkBytes, length - done), 'x'));
    return text;
}

auto withLength(size_t length) -> std::string
{
    return "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

const std::string chunkedField = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against bodies in progress that add up to more than the machine's memory.
TEST_F(ResourceBodies, UnfinishedInOnePiece)
{
    checkCrowd(Port::Callers, clientCount,
               {requestHead("/file/x", "crowd",
                            withLength(maxBodyBytes) + std::string(maxBodyBytes - 1, 'x')),
                maxBodyBytes});
}

// The same for senders whose bytes come little by little, so that each of them looks alive.
TEST_F(ResourceBodies, UnfinishedInSmallPieces)
{
    checkCrowd(Port::Callers, clientCount,
               {requestHead("/file/x", "crowd",
                            withLength(maxBodyBytes) + std::string(maxBodyBytes - 1, 'x')),
                4 << 10});
}

// The same for bodies whose length isn't known before their end.
TEST_F(ResourceBodies, UnfinishedInChunks)
{
    checkCrowd(Port::Callers, clientCount,
               {requestHead("/file/x", "crowd", chunkedField + chunked(maxBodyBytes, 1 << 10))});
}

// Guards against memory spent on requests that no server will ever get.
TEST_F(ResourceBodies, UnfinishedWithoutRoute)
{
    checkCrowd(Port::Callers, clientCount,
               {requestHead("/none/x", "crowd",
                            withLength(maxBodyBytes) + std::string(maxBodyBytes - 1, 'x'))});
}

// Guards against bodies at addresses whose requests have none.
TEST_F(ResourceBodies, UnfinishedAtReadinessAddress)
{
    checkCrowd(Port::Readiness, clientCount,
               {"POST /-/readiness HTTP/1.1\r\nHost: h\r\n" + withLength(maxBodyBytes)
                + std::string(maxBodyBytes - 1, 'x')});
}

TEST_F(ResourceBodies, UnfinishedAtMetricsAddress)
{
    checkCrowd(
        Port::Metrics, clientCount,
        {"POST /metrics HTTP/1.1\r\nHost: h\r\n" + chunkedField + chunked(maxBodyBytes, 16 << 10)});
}

// Guards against a refusal that comes only after the body has been taken in.
TEST_F(ResourceBodies, RegressionFarOverLimitWithLength)
{
    checkCrowd(Port::Callers, clientCount,
               {requestHead("/file/x", "crowd",
                            withLength(8 * maxBodyBytes) + std::string(8 * maxBodyBytes, 'x'))});
}

TEST_F(ResourceBodies, FarOverLimitInChunks)
{
    checkCrowd(
        Port::Callers, clientCount,
        {requestHead("/file/x", "crowd", chunkedField + chunked(8 * maxBodyBytes, 16 << 10))});
}

TEST_F(ResourceBodies, FarOverLimitAtReadinessAddress)
{
    checkCrowd(Port::Readiness, clientCount,
               {"POST /-/readiness HTTP/1.1\r\nHost: h\r\n" + chunkedField
                + chunked(8 * maxBodyBytes, 16 << 10)});
}

// Guards against heads that take many times their size in memory: each field is kept on its own.
TEST_F(ResourceBodies, ManyShortFields)
{
    constexpr int manyClients = 150;
    std::string fields;
    constexpr size_t bytesForOtherFields = 512;
    while (fields.size() + bytesForOtherFields < maxHeaderBytes)
        fields += "a:b\r\n";
    checkCrowd(Port::Callers, manyClients,
               {requestHead("/file/x", "crowd", fields + "Content-Length: 4\r\n\r\nbod")});
}

// The same once the requests are over and the connections idle.
TEST_F(ResourceBodies, ManyShortFieldsOnIdleConnections)
{
    constexpr int manyClients = 150;
    std::string fields;
    constexpr size_t bytesForOtherFields = 512;
    while (fields.size() + bytesForOtherFields < maxHeaderBytes)
        fields += "a:b\r\n";
    checkCrowd(Port::Callers, manyClients,
               {requestHead("/none/x", "crowd", fields + "Content-Length: 4\r\n\r\nbody")});
}

// Guards against requests ahead of their turn that are all taken in.
TEST_F(ResourceBodies, PipelinedWithoutReading)
{
    std::string requests;
    while (requests.size() < 3 * maxBodyBytes)
        requests += ordinaryRequest("crowd");
    checkCrowd(Port::Callers, clientCount, {requests, 64 << 10, 0});
}

// The same for requests that the gateway answers itself, so that the answers pile up.
TEST_F(ResourceBodies, RegressionPipelinedWithoutRouteAndReading)
{
    std::string requests;
    while (requests.size() < 3 * maxBodyBytes)
        requests += requestHead("/none/x", "crowd", withLength(0));
    checkCrowd(Port::Callers, clientCount, {requests, 64 << 10, 0});
}

TEST_F(ResourceBodies, PipelinedAtMetricsAddressWithoutReading)
{
    std::string requests;
    while (requests.size() < maxBodyBytes)
        requests += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    checkCrowd(Port::Metrics, clientCount, {requests, 64 << 10, 0});
}

// Guards against a limit on unsent bytes that includes the head: the largest allowed body was never
// sent to a server.
TEST_F(ResourceBodies, LargestBodyAloneIsServed)
{
    ASSERT_NO_FATAL_FAILURE(startProcess());
    const auto answer = sendRequest(
        requestHead("/file/x", "large", withLength(maxBodyBytes) + std::string(maxBodyBytes, 'x')));
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(engines.front()->arrivals().back().body.size(), maxBodyBytes);
    checkProcess();
}
