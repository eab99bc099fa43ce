#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Checks the platform's rules on a part of prompts that crashes engines. At most `MaxLateSends`
/// requests with it may reach engines later than `StableWindow` after its fifth crash, or after the
/// third one of a request that is repeated as a whole (BUDGET).
/// From twice that time on, sound requests with the same customer or first part must be served at
/// least half as often as without crashes (LOST).
class CrashPartChecker
{
public:
    static constexpr size_t CountedCrashOfPart = 5;
    static constexpr size_t CountedCrashOfRequest = 3;

    explicit CrashPartChecker(size_t countedCrash = CountedCrashOfPart)
        : m_countedCrash(countedCrash)
    { }

    auto noteCrash(Utils::TimePoint now) -> void { m_crashes.push_back(now); }

    /// A request with the part reaches an engine.
    auto noteArrival(Utils::TimePoint now) -> void
    {
        if (const auto at = limitingCrash(); at && now - *at > StableWindow)
            ++m_lateSends;
    }

    /// A sound request with the same customer or first part, by the time at which it was sent.
    auto noteSound(Utils::TimePoint sentAt, bool isServed) -> void
    {
        m_sound.push_back({sentAt, isServed});
    }

    auto crashes() const -> size_t { return m_crashes.size(); }
    auto lateSends() const -> int { return m_lateSends; }

    auto violations() const -> std::vector<std::string>
    {
        std::vector<std::string> found;
        if (m_lateSends > MaxLateSends)
            found.push_back("BUDGET: " + std::to_string(m_lateSends)
                            + " requests with the part were sent later than 3 s after the crash "
                              "that counts; "
                            + std::to_string(m_crashes.size()) + " crashes in all");
        if (m_crashes.empty())
            return found;
        const auto from = limitingCrash().value_or(m_crashes.back()) + 2 * StableWindow;
        const Share before = shareServed(Utils::TimePoint(), m_crashes.front() - CalmMargin);
        const Share after = shareServed(from, Utils::TimePoint::max());
        if (before.sent >= MinRequests && after.sent >= MinRequests
            && 2 * after.served * before.sent < before.served * after.sent)
            found.push_back("LOST: " + std::to_string(after.served) + " of "
                            + std::to_string(after.sent) + " sound requests served, "
                            + std::to_string(before.served) + " of " + std::to_string(before.sent)
                            + " before the first crash");
        return found;
    }

    /// Number of sound requests that were sent late enough to be judged.
    auto judgedSound() const -> int
    {
        if (m_crashes.empty())
            return 0;
        const auto from = limitingCrash().value_or(m_crashes.back()) + 2 * StableWindow;
        return shareServed(from, Utils::TimePoint::max()).sent;
    }

private:
    static constexpr int MaxLateSends = 3;
    static constexpr int MinRequests = 20;
    static constexpr std::chrono::seconds StableWindow{3};
    /// Requests sent shortly before the first crash may be in flight at it.
    static constexpr std::chrono::seconds CalmMargin{1};

    struct Sound
    {
        Utils::TimePoint sentAt;
        bool isServed = false;
    };
    struct Share
    {
        int sent = 0;
        int served = 0;
    };

    auto limitingCrash() const -> std::optional<Utils::TimePoint>
    {
        if (m_crashes.size() < m_countedCrash)
            return {};
        return m_crashes[m_countedCrash - 1];
    }

    auto shareServed(Utils::TimePoint from, Utils::TimePoint to) const -> Share
    {
        Share share;
        for (const Sound &one : m_sound) {
            if (one.sentAt < from || one.sentAt >= to)
                continue;
            ++share.sent;
            share.served += one.isServed ? 1 : 0;
        }
        return share;
    }

    size_t m_countedCrash;
    std::vector<Utils::TimePoint> m_crashes;
    std::vector<Sound> m_sound;
    int m_lateSends = 0;
};
