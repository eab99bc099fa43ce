#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Soak {

/// Kinds of requests, by whether and how they may be repeated.
enum class RequestKind { Repeatable, AtMostOnce, Stream, ResumableStream };

/// Ids of a stream's events are 1 to this.
constexpr std::int64_t EventsOfStream = 5;

/// Part of a prompt on which engines crash, if the soak uses one.
constexpr const char *CrashingPart = "bad";

/// One request, as sent by a caller.
struct Attempt
{
    std::string id;
    RequestKind kind = RequestKind::Repeatable;
    std::string target;
    std::string key;
    std::string customer; ///< Owner of the key.
    size_t gateway = 0; ///< Index of the gateway that it was sent to.
    std::chrono::milliseconds timeout{0};
    int tokens = 0;
    std::string route; ///< Prefix of its route.
    bool isForbidden = false; ///< Whether no configuration ever allows it.
    bool hasCrashingPart = false; ///< Its prompt has a part on which engines crash.
    std::string model; ///< With its adapter; drawn when it is sent.
    std::string resumedAttempt; ///< That brought the stream's first event; empty for a new stream.
    std::int64_t lastEvent = 0; ///< Of the stream, that the caller has.
    Utils::TimePoint sentAt;
};

/// How an attempt ended, as seen by its caller.
struct AttemptEnd
{
    int status = 0; ///< 0 if there was no answer.
    bool isWhole = false;
    bool isSigned = false;
    std::string body;
    std::string server; ///< That signed the answer; empty if none did.
    bool callerLeft = false; ///< The caller closed the connection itself.
    bool lostLink = false; ///< The caller's own link failed, so that it left.
    bool wasSilent = false; ///< The caller left as nothing came for too long.
};

} // namespace Soak
