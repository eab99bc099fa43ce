#pragma once

#include <utils/timepoint.h>

#include <map>
#include <set>
#include <string>

namespace Routing {

/// How strongly a request is suspected of crashing its backend server.
enum class Suspicion { None, RunAlone, Refused };

/// Hash of a request's content; identical for each repetition of the request.
auto requestFingerprint(const std::string &customer, const std::string &model,
                        const std::string &body) -> std::string;

/// Counts for each request the crashes during which it was in flight. A request that ran alone
/// during a crash is the cause; requests that ran together are run one at a time until the cause is
/// found.
class CrashSuspects
{
public:
    /// Records that the request was in flight during the crash with that name; each crash counts
    /// once.
    auto recordCrash(const std::string &fingerprint, const std::string &crash, Utils::TimePoint now)
        -> void;
    /// Clears a suspect that completed without a crash.
    auto noteFinished(const std::string &fingerprint) -> void;
    auto suspicionOf(const std::string &fingerprint, Utils::TimePoint now) const -> Suspicion;

private:
    struct Record
    {
        std::set<std::string> crashes;
        Utils::TimePoint lastAt;
    };

    std::map<std::string, Record> m_records;
};

} // namespace Routing
