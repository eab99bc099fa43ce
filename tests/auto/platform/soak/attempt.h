#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <string>

namespace Soak {

/// Ways of running a request, by what may be repeated.
enum class RequestKind { Repeatable, AtMostOnce, Stream, ResumableStream };

/// One request as a caller sent it.
struct Attempt
{
    std::string id;
    RequestKind kind = RequestKind::Repeatable;
    std::string target;
    std::string key;
    std::string customer; ///< That the key belongs to.
    size_t gateway = 0; ///< That it was sent to.
    std::chrono::milliseconds timeout{0};
    int tokens = 0;
    std::string route; ///< Prefix that it is for.
    bool isForbidden = false; ///< No configuration ever allows it.
    Utils::TimePoint sentAt;
};

/// How an attempt ended for its caller.
struct AttemptEnd
{
    int status = 0; ///< 0 if no answer came.
    bool isWhole = false;
    bool isSigned = false;
    std::string body;
    bool callerLeft = false; ///< The caller closed the connection itself.
};

} // namespace Soak
