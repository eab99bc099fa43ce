#include "crashsuspects.h"

#include "routingconstants.h"

#include <utils/hashing.h>

namespace Routing {

auto requestFingerprint(const std::string &customer, const std::string &model,
                        const std::string &body) -> std::string
{
    constexpr size_t digits = 32;
    return Utils::sha256Hex(customer + "\n" + model + "\n" + body).substr(0, digits);
}

auto CrashSuspects::recordCrash(const std::string &fingerprint, const std::string &crash,
                                Utils::TimePoint now) -> void
{
    std::erase_if(m_records, [now](const auto &e) {
        return now - e.second.lastAt > Constants::CrashRecordLifetime;
    });
    Record &record = m_records[fingerprint];
    record.crashes.insert(crash);
    record.lastAt = now;
}

auto CrashSuspects::noteFinished(const std::string &fingerprint) -> void
{
    m_records.erase(fingerprint);
}

auto CrashSuspects::suspicionOf(const std::string &fingerprint, Utils::TimePoint now) const
    -> Suspicion
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || now - found->second.lastAt > Constants::CrashRecordLifetime)
        return Suspicion::None;
    const auto strikes = static_cast<int>(found->second.crashes.size());
    return strikes >= Constants::MaxCrashes ? Suspicion::Refused : Suspicion::RunAlone;
}

} // namespace Routing
