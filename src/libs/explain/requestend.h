#pragma once

#include "logline.h"

namespace Explain {

/// What went wrong for a request before its end.
struct RequestFailures
{
    std::string failedServer; ///< The last server that broke off or lost an answer.
    std::chrono::milliseconds failedAt{0};
    std::string pausedServer; ///< The last server that wanted no requests for a while.
    bool isRetryDenied = false; ///< The retry budget was used up.

    /// Takes a line of the request that is not its end.
    auto addLine(const LogLine &line) -> void;
};

/// From which delays on a request counts as served late.
struct LateLimits
{
    std::chrono::milliseconds answer{1000}; ///< To a stream's first event, or to a whole answer.
    std::chrono::milliseconds pause{1000}; ///< Between a stream's events.
};

/// How a request ended at one gateway.
struct RequestEnd
{
    std::string id;
    std::string gateway;
    std::string outcome;
    std::string route;
    std::string customer;
    std::string model;
    std::string server;
    std::int64_t status = 0;
    std::int64_t sends = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t configuration = 0;
    std::int64_t tokens = 0;
    std::int64_t charged = 0;
    bool isServed = false;
    std::chrono::milliseconds arrivedAt{0};
    std::chrono::milliseconds endedAt{0};
    std::chrono::milliseconds firstEvent{-1}; ///< Since the arrival; negative without any.
    std::chrono::milliseconds longestPause{0};
    RequestFailures failures;

    static auto isEnd(const LogLine &line) -> bool;
    static auto fromLine(const LogLine &line) -> RequestEnd;

    auto duration() const -> std::chrono::milliseconds;
    /// Until something of the answer was there.
    auto answerTime() const -> std::chrono::milliseconds;
    auto isLate(const LateLimits &limits) const -> bool;
    auto baseModel() const -> std::string_view;
    auto adapter() const -> std::string_view;
};

} // namespace Explain
