#pragma once

#include <utils/timepoint.h>

#include <map>
#include <set>
#include <string>

namespace Routing {

/// How far a request is suspected of crashing its backend server.
enum class Suspicion { None, RunAlone, Refused };

/// Identity of a request's content: the same however often it is sent.
auto requestFingerprint(const std::string &customer, const std::string &model,
                        const std::string &body) -> std::string;

/// Counts the crashes that each request was in flight at. One that was alone at a crash is the
/// cause; those that were together are run one at a time until it is found.
class CrashSuspects
{
public:
    /// The request was in flight at the crash of that name; each crash counts once.
    auto recordCrash(const std::string &fingerprint, const std::string &crash, Utils::TimePoint now)
        -> void;
    /// A suspect ran to its end without a crash.
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
