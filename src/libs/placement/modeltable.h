#pragma once

#include <placement/memoryledger.h>
#include <utils/timepoint.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

class KeepWarmPolicy;

/// What is known of one model on one backend server.
enum class ModelState {
    Absent,
    Loading,
    Ready,
    Unloading,
    Uncertain, ///< An order's answer was lost; the memory stays reserved until reconciled.
};

/// What a backend server reports that it holds.
struct ReportedModel
{
    std::string name;
    std::uint64_t bytes = 0;
    bool isLoading = false;
};

/// One backend server's models: their states, their memory and how they were used lately.
class ModelTable
{
public:
    explicit ModelTable(std::uint64_t capacityBytes);

    auto stateOf(const std::string &model) const -> ModelState;
    /// Reserves the memory and enters Loading; false when it doesn't fit or isn't absent.
    auto beginLoad(const std::string &model, std::uint64_t bytes) -> bool;
    auto finishLoad(const std::string &model, Utils::TimePoint now) -> void;
    /// The server refused the load and holds nothing of it.
    auto cancelLoad(const std::string &model) -> void;
    auto beginUnload(const std::string &model) -> bool;
    auto finishUnload(const std::string &model) -> void;
    /// An order's answer was lost; the order may take effect until `settledAt`.
    auto markUncertain(const std::string &model, Utils::TimePoint settledAt) -> void;
    /// Makes `model` part of `base`: it goes when the base is unloaded.
    auto setBase(const std::string &model, const std::string &base) -> void;
    /// Takes over the server's own list, which must have been asked for while no order was in
    /// flight.
    auto reconcile(const std::vector<ReportedModel> &reported, Utils::TimePoint now) -> void;

    auto beginUse(const std::string &model, Utils::TimePoint now) -> void;
    auto endUse(const std::string &model, Utils::TimePoint now) -> void;
    auto isInUse(const std::string &model) const -> bool;

    /// Idle models to unload so that `bytes` fit, least valuable first; empty when that is
    /// impossible.
    auto evictionCandidates(std::uint64_t bytes, Utils::TimePoint now) const
        -> std::vector<std::string>;
    /// Models that were idle for longer than the policy keeps them.
    auto idleTooLong(const KeepWarmPolicy &policy, Utils::TimePoint now) const
        -> std::vector<std::string>;
    auto names() const -> std::vector<std::string>;
    auto memory() const -> const MemoryLedger &;

private:
    struct Entry
    {
        ModelState state = ModelState::Absent;
        std::uint64_t bytes = 0;
        int users = 0;
        Utils::TimePoint lastUse;
        std::deque<Utils::Duration> gaps;
        std::string base;
        Utils::TimePoint settledAt;
    };

    auto retentionValue(const Entry &entry, Utils::TimePoint now) const -> double;

    MemoryLedger m_memory;
    std::map<std::string, Entry> m_entries;
};

} // namespace Placement
