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

/// State of one model on one backend server, as far as known.
enum class ModelState {
    Absent,
    Loading,
    Ready,
    Unloading,
    Uncertain, ///< The answer to an order was lost; memory stays reserved until reconciled.
};

/// A model that a backend server reports as held in its memory.
struct ReportedModel
{
    std::string name;
    std::uint64_t bytes = 0;
    bool isLoading = false;
};

/// Tracks one backend server's models: their state, memory and recent use.
class ModelTable
{
public:
    explicit ModelTable(std::uint64_t capacityBytes);

    auto stateOf(const std::string &model) const -> ModelState;
    /// Reserves the memory and enters Loading; returns false if the model doesn't fit or isn't
    /// absent.
    auto beginLoad(const std::string &model, std::uint64_t bytes) -> bool;
    auto finishLoad(const std::string &model, Utils::TimePoint now) -> void;
    /// Reverts a load that the server refused; it holds no part of the model.
    auto cancelLoad(const std::string &model) -> void;
    auto beginUnload(const std::string &model) -> bool;
    auto finishUnload(const std::string &model) -> void;
    /// Marks a model whose last order got no answer; the order may still take effect until
    /// `settledAt`.
    auto markUncertain(const std::string &model, Utils::TimePoint settledAt) -> void;
    /// Makes `model` depend on `base`: unloading the base removes it as well.
    auto setBase(const std::string &model, const std::string &base) -> void;
    /// Applies the server's own list of models, which must have been requested while no order was
    /// in flight.
    auto reconcile(const std::vector<ReportedModel> &reported, Utils::TimePoint now) -> void;

    auto beginUse(const std::string &model, Utils::TimePoint now) -> void;
    auto endUse(const std::string &model, Utils::TimePoint now) -> void;
    auto isInUse(const std::string &model) const -> bool;

    /// Idle models to unload so that `bytes` fit, least valuable first; empty if nothing has to be
    /// unloaded, or if unloading all idle models would not be enough.
    auto evictionCandidates(std::uint64_t bytes, Utils::TimePoint now) const
        -> std::vector<std::string>;
    /// Models that have been idle for longer than the policy keeps them loaded.
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
