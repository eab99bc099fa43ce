#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// The properties of a request that matter for the selection of its server. Made once for each
/// request, as the selection is repeated while the request waits.
struct RequestProfile
{
    /// Leading parts of a prompt that other requests may share.
    struct Prefix
    {
        std::uint64_t key = 0; ///< Of model, adapter and the parts up to this one.
        double tokens = 0; ///< Of these parts together.
    };

    std::string service;
    std::string model; ///< With its adapter; empty where the service has no models.
    double promptTokens = 0;
    double maxAnswerTokens = 0;
    std::optional<double> lengthHint; ///< Estimated tokens of the answer.
    double bytes = 0; ///< Of the request.
    std::vector<Prefix> prefixes; ///< The shortest one first.
    /// Same for all attempts at the request and continuations of its stream.
    std::uint64_t identity = 0;

    /// Adds the next part; parts beyond the limit are ignored.
    auto addPart(std::string_view id, int tokens) -> void;
};

/// A request that was sent to a server, and what was measured since.
struct RunningRequest
{
    std::int64_t startedAtMs = 0; ///< Of the server's incarnation.
    double load = 0; ///< Other requests at the server when the request was sent.
    double tokensToRead = 0; ///< Tokens of the prompt that were not read there before.
    double reservedTokens = 0;
    bool isRemote = false; ///< The server is in another failure domain.
    Utils::TimePoint sentAt;
    std::optional<Utils::TimePoint> begunAt; ///< First event, or head of an answer in one piece.
    Utils::TimePoint lastEventAt;
    int events = 0;
    double answerBytes = 0;

    /// Returns true if it is the first event.
    auto noteEvents(int count, Utils::TimePoint now) -> bool;
};

} // namespace Routing
